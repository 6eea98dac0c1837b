package org.carobstage.testbed.measure;

import java.time.Duration;
import java.util.List;
import org.carobstage.testbed.history.History;
import org.carobstage.testbed.load.CallerClient;
import org.carobstage.testbed.load.ClosedLoopLoadGenerator;
import org.carobstage.testbed.load.DirectClient;
import org.carobstage.testbed.load.LoadPlan;
import org.carobstage.testbed.load.LoadResults;
import org.carobstage.testbed.load.Workload;

/** Throughput of one entry VM, and the latency that it adds at half of the targeted throughput. */
final class EntryVmBenchmark {
    private static final double TARGET_PER_SECOND = 20_000;
    private static final double TARGET_P50_MILLIS = 0.2;
    private static final double TARGET_P99_MILLIS = 2;
    private static final double MEDIAN = 50;
    private static final double P99 = 99;
    private static final Duration WARM_UP = Duration.ofSeconds(15);
    private static final int CALLERS = 128;
    private static final int DIRECT_CONNECTIONS = 32;
    private static final double DIRECT_SHARE = 0.1;
    private static final long SEED = 1;

    private EntryVmBenchmark() {}

    static List<BenchmarkResult> measureThroughput(TestEnvironment stand, Duration duration) {
        CallerClient entry = stand.entryVmClients().get(0);
        String token = stand.sessionToken();
        ClosedLoopLoadGenerator.measureThroughput(entry, stand.group(), token, CALLERS, WARM_UP);
        double rate =
                ClosedLoopLoadGenerator.measureThroughput(
                        entry, stand.group(), token, CALLERS, duration);
        return List.of(
                BenchmarkResult.atLeast("throughput", rate, "statements/s", TARGET_PER_SECOND));
    }

    static List<BenchmarkResult> measureAddedLatency(TestEnvironment stand, Duration duration) {
        List<DirectClient> replicas = stand.connectToReplicas(DIRECT_CONNECTIONS);
        LoadPlan plan =
                new LoadPlan(
                        Workload.SHORT_READS,
                        stand.group(),
                        TARGET_PER_SECOND / 2,
                        duration,
                        SEED,
                        DIRECT_SHARE);
        stand.runLoad(plan, replicas, History.empty());
        LoadResults figures = stand.runLoad(plan, replicas, History.empty());
        return List.of(
                BenchmarkResult.atMost(
                        "added_p50", added(figures, MEDIAN), "ms", TARGET_P50_MILLIS),
                BenchmarkResult.atMost("added_p99", added(figures, P99), "ms", TARGET_P99_MILLIS));
    }

    private static double added(LoadResults figures, double percentile) {
        return LoadResults.percentileMillis(figures.entryVmLatencies(), percentile)
                - LoadResults.percentileMillis(figures.directLatencies(), percentile);
    }
}
