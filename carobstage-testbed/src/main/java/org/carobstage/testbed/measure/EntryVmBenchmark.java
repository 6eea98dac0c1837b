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

/**
 * Measures the throughput of one entry VM and the latency it adds at half the target throughput.
 */
final class EntryVmBenchmark {
    private static final double TARGET_STATEMENTS_PER_SECOND = 20_000;
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

    static List<BenchmarkResult> measureThroughput(TestEnvironment environment, Duration duration) {
        CallerClient client = environment.entryVmClients().get(0);
        String sessionToken = environment.sessionToken();
        ClosedLoopLoadGenerator.measureThroughput(
                client, environment.group(), sessionToken, CALLERS, WARM_UP);
        double statementsPerSecond =
                ClosedLoopLoadGenerator.measureThroughput(
                        client, environment.group(), sessionToken, CALLERS, duration);
        return List.of(
                BenchmarkResult.atLeast(
                        "throughput",
                        statementsPerSecond,
                        "statements/s",
                        TARGET_STATEMENTS_PER_SECOND));
    }

    static List<BenchmarkResult> measureAddedLatency(
            TestEnvironment environment, Duration duration) {
        List<DirectClient> replicaClients = environment.connectToReplicas(DIRECT_CONNECTIONS);
        LoadPlan plan =
                new LoadPlan(
                        Workload.SHORT_READS,
                        environment.group(),
                        TARGET_STATEMENTS_PER_SECOND / 2,
                        duration,
                        SEED,
                        DIRECT_SHARE);
        environment.runLoad(plan, replicaClients, History.empty());
        LoadResults results = environment.runLoad(plan, replicaClients, History.empty());
        return List.of(
                BenchmarkResult.atMost(
                        "added_p50", addedMillis(results, MEDIAN), "ms", TARGET_P50_MILLIS),
                BenchmarkResult.atMost(
                        "added_p99", addedMillis(results, P99), "ms", TARGET_P99_MILLIS));
    }

    private static double addedMillis(LoadResults results, double percentile) {
        return LoadResults.percentileMillis(results.entryVmLatencies(), percentile)
                - LoadResults.percentileMillis(results.directLatencies(), percentile);
    }
}
