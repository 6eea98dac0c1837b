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

/** What a load run measured; latencies count from the moment a request was due. */
public final class LoadResults {
    private static final long HIGHEST_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<String, Histogram> kinds = new ConcurrentSkipListMap<>();
    private final Histogram entryVmLatencies = histogram();
    private final Histogram directLatencies = histogram();
    private final Map<Outcome, LongAdder> outcomes = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> errors = new ConcurrentHashMap<>();
    private final Queue<Long> writeEnds = new ConcurrentLinkedQueue<>();
    private final LongAdder tolerantReads = new LongAdder();
    private final LongAdder replicaReads = new LongAdder();

    private LoadResults() {}

    static LoadResults empty() {
        return new LoadResults();
    }

    void record(RequestKind kind, CallerResponse reply, long intended, long now) {
        outcomes.computeIfAbsent(reply.outcome(), o -> new LongAdder()).increment();
        if (reply.outcome() != Outcome.DONE) {
            errors.computeIfAbsent(reply.errorDetail(), d -> new LongAdder()).increment();
            return;
        }
        entryVmLatencies.recordValue(now - intended);
        kinds.computeIfAbsent(kind.name(), k -> histogram()).recordValue(now - intended);
        if (kind.isWrite()) {
            writeEnds.add(now);
        } else if (!kind.maxStaleness().isZero()) {
            tolerantReads.increment();
            reply.result()
                    .filter(StatementResultMessage::replica)
                    .ifPresent(d -> replicaReads.increment());
        }
    }

    void directLatencies(long nanos) {
        directLatencies.recordValue(nanos);
    }

    /**
     * Returns the latencies through entry VMs of all requests that ran.
     *
     * @return the histogram, in ns
     */
    public Histogram entryVmLatencies() {
        return entryVmLatencies;
    }

    /**
     * Returns the latencies of the comparison.
     *
     * @return the histogram, in ns
     */
    public Histogram directLatencies() {
        return directLatencies;
    }

    /**
     * Returns how many requests had an outcome.
     *
     * @param outcome the outcome
     * @return the number of requests
     */
    public long requestCount(Outcome outcome) {
        return outcomes.getOrDefault(outcome, new LongAdder()).sum();
    }

    /**
     * Returns the part of the reads with a staleness that replicas served.
     *
     * @return the part, from 0 to 1
     */
    public double replicaShare() {
        return (double) replicaReads.sum() / Math.max(1, tolerantReads.sum());
    }

    /**
     * Returns the longest time without an acknowledged write.
     *
     * @return the time in ms
     */
    public double longestWriteGapMillis() {
        List<Long> ends = writeEnds.stream().sorted(Comparator.naturalOrder()).toList();
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
     * Sums the run up for the JSON file.
     *
     * @param plan the plan of the run
     * @param violations the violations of its history
     * @return the summary
     */
    public Summary summary(LoadPlan plan, List<String> violations) {
        Map<String, Latency> latencies = new TreeMap<>();
        kinds.forEach((name, histogram) -> latencies.put(name, Latency.of(histogram)));
        latencies.put("all", Latency.of(entryVmLatencies));
        latencies.put("direct", Latency.of(directLatencies));
        Map<String, Long> told = new TreeMap<>();
        outcomes.forEach((outcome, count) -> told.put(outcome.name(), count.sum()));
        Map<String, Long> refused = new TreeMap<>();
        errors.forEach((detail, count) -> refused.put(detail, count.sum()));
        return new Summary(
                plan.workload().name(),
                plan.requestsPerSecond(),
                plan.duration().toMillis(),
                plan.seed(),
                told,
                refused,
                latencies,
                replicaShare(),
                longestWriteGapMillis(),
                violations);
    }

    private static Histogram histogram() {
        ConcurrentHistogram histogram = new ConcurrentHistogram(HIGHEST_NANOS, DIGITS);
        histogram.setAutoResize(true);
        return histogram;
    }

    /**
     * The result of a run as its JSON file holds it.
     *
     * @param workload the workload
     * @param rate requests per second outside a rush
     * @param durationMillis how long requests arrived, in ms
     * @param seed the seed
     * @param outcomes how many requests had each outcome
     * @param errors how many requests had each error
     * @param latencies the latencies by request class
     * @param replicaShare the part of the reads with a staleness that replicas served
     * @param longestWriteGapMillis the longest time without an acknowledged write, in ms
     * @param violations what the history breaks
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
     * Latencies in ms.
     *
     * @param count how many requests
     * @param p50 the median
     * @param p99 the 99th percentile
     * @param p999 the 99.9th percentile
     * @param max the longest
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
