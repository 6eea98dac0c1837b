package org.carobstage.testbed.load;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.carobstage.caller.CallerMessages.StatementResultMessage;
import org.carobstage.testbed.history.Operation.Outcome;

/** The results of a load run; latencies count from the scheduled arrival of a request. */
public final class LoadResults {
    private static final long HIGHEST_TRACKABLE_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<String, Histogram> latenciesByClass = new ConcurrentSkipListMap<>();
    private final Histogram entryVmLatencies = newHistogram();
    private final Histogram directLatencies = newHistogram();
    private final Map<Outcome, LongAdder> outcomes = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> errors = new ConcurrentHashMap<>();
    private final Queue<Long> writeEndNanos = new ConcurrentLinkedQueue<>();
    private final LongAdder staleTolerantReads = new LongAdder();
    private final LongAdder replicaReads = new LongAdder();

    private LoadResults() {}

    static LoadResults empty() {
        return new LoadResults();
    }

    void record(RequestKind kind, CallerResponse response, long scheduledNanos, long endNanos) {
        outcomes.computeIfAbsent(response.outcome(), outcome -> new LongAdder()).increment();
        if (response.outcome() != Outcome.DONE) {
            errors.computeIfAbsent(response.errorDetail(), detail -> new LongAdder()).increment();
            return;
        }
        entryVmLatencies.recordValue(endNanos - scheduledNanos);
        latenciesByClass
                .computeIfAbsent(kind.name(), name -> newHistogram())
                .recordValue(endNanos - scheduledNanos);
        if (kind.isWrite()) {
            writeEndNanos.add(endNanos);
        } else if (!kind.maxStaleness().isZero()) {
            staleTolerantReads.increment();
            response.result()
                    .filter(StatementResultMessage::replica)
                    .ifPresent(result -> replicaReads.increment());
        }
    }

    void recordDirectLatency(long nanos) {
        directLatencies.recordValue(nanos);
    }

    /**
     * Returns the latencies of all requests that ran through an entry VM.
     *
     * @return the histogram, in ns
     */
    public Histogram entryVmLatencies() {
        return entryVmLatencies;
    }

    /**
     * Returns the latencies of the requests sent directly to an instance.
     *
     * @return the histogram, in ns
     */
    public Histogram directLatencies() {
        return directLatencies;
    }

    /**
     * Returns the number of requests with an outcome.
     *
     * @param outcome the outcome
     * @return the number of requests
     */
    public long requestCount(Outcome outcome) {
        return outcomes.getOrDefault(outcome, new LongAdder()).sum();
    }

    /**
     * Returns the share of the reads with a staleness bound that replicas served.
     *
     * @return the share, from 0 to 1
     */
    public double replicaShare() {
        return (double) replicaReads.sum() / Math.max(1, staleTolerantReads.sum());
    }

    /**
     * Returns the longest interval between two successive acknowledged writes.
     *
     * @return the interval in ms
     */
    public double longestWriteGapMillis() {
        List<Long> ends = writeEndNanos.stream().sorted(Comparator.naturalOrder()).toList();
        long longest = 0;
        for (int i = 1; i < ends.size(); i++) {
            longest = Math.max(longest, ends.get(i) - ends.get(i - 1));
        }
        return longest / NANOS_PER_MILLI;
    }

    /**
     * Returns a percentile of a histogram.
     *
     * @param histogram the histogram, in ns
     * @param percentile the percentile, from 0 to 100
     * @return the latency in ms
     */
    public static double percentileMillis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /**
     * Summarizes the run for the JSON file.
     *
     * @param plan the plan of the run
     * @param violations the violations in the history of the run
     * @return the summary
     */
    public Summary summary(LoadPlan plan, List<String> violations) {
        Map<String, Latency> latencies = new TreeMap<>();
        latenciesByClass.forEach((name, histogram) -> latencies.put(name, Latency.of(histogram)));
        latencies.put("all", Latency.of(entryVmLatencies));
        latencies.put("direct", Latency.of(directLatencies));
        Map<String, Long> outcomeCounts = new TreeMap<>();
        outcomes.forEach((outcome, count) -> outcomeCounts.put(outcome.name(), count.sum()));
        Map<String, Long> errorCounts = new TreeMap<>();
        errors.forEach((detail, count) -> errorCounts.put(detail, count.sum()));
        return new Summary(
                plan.workload().name(),
                plan.requestsPerSecond(),
                plan.duration().toMillis(),
                plan.seed(),
                outcomeCounts,
                errorCounts,
                latencies,
                replicaShare(),
                longestWriteGapMillis(),
                violations);
    }

    private static Histogram newHistogram() {
        ConcurrentHistogram histogram =
                new ConcurrentHistogram(HIGHEST_TRACKABLE_NANOS, SIGNIFICANT_DIGITS);
        histogram.setAutoResize(true);
        return histogram;
    }

    /**
     * The results of a load run as written to the JSON file.
     *
     * @param workload the name of the workload
     * @param rate the mean arrival rate outside the peak period, in requests per second
     * @param durationMillis the time during which requests arrived, in ms
     * @param seed the random seed
     * @param outcomes the number of requests by outcome
     * @param errors the number of requests by error code and detail
     * @param latencies the latencies by request class, of all requests, and of direct requests
     * @param replicaShare the share of the reads with a staleness bound that replicas served
     * @param longestWriteGapMillis the longest interval between acknowledged writes, in ms
     * @param violations the violations in the history
     */
    public record Summary(
            String workload,
            double rate,
            long durationMillis,
            long seed,
            Map<String, Long> outcomes,
            Map<String, Long> errors,
            Map<String, Latency> latencies,
            double replicaShare,
            double longestWriteGapMillis,
            List<String> violations) {}

    /**
     * Latency percentiles in ms.
     *
     * @param count the number of requests
     * @param p50 the median
     * @param p99 the 99th percentile
     * @param p999 the 99.9th percentile
     * @param max the maximum
     */
    public record Latency(long count, double p50, double p99, double p999, double max) {
        static Latency of(Histogram histogram) {
            return new Latency(
                    histogram.getTotalCount(),
                    percentileMillis(histogram, 50),
                    percentileMillis(histogram, 99),
                    percentileMillis(histogram, 99.9),
                    percentileMillis(histogram, 100));
        }
    }
}
