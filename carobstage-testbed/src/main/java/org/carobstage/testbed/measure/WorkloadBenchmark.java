package org.carobstage.testbed.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.carobstage.testbed.history.History;
import org.carobstage.testbed.history.Operation.Outcome;
import org.carobstage.testbed.history.Violation;
import org.carobstage.testbed.load.LoadPlan;
import org.carobstage.testbed.load.LoadResults;
import org.carobstage.testbed.load.Workload;

/** Runs the workloads of both teams at their off-peak request rate and checks their history. */
final class WorkloadBenchmark {
    private static final double REQUESTS_PER_SECOND = 100;
    private static final double WRITES_PER_SECOND = 50;
    private static final double TARGET_REPLICA_PERCENT = 95;
    private static final double PERCENT = 100;
    private static final double TARGET_MILLIS_ABOVE_LAG = 20;
    private static final double MEDIAN = 50;
    private static final long SEED = 2;

    private WorkloadBenchmark() {}

    static List<BenchmarkResult> measure(TestEnvironment environment, Duration duration) {
        List<BenchmarkResult> benchmarkResults = new ArrayList<>();
        History history = History.empty();
        for (Workload workload : List.of(Workload.AGRESTE, Workload.LUZON)) {
            LoadPlan plan =
                    new LoadPlan(
                            workload, environment.group(), REQUESTS_PER_SECOND, duration, SEED, 0);
            LoadResults results = environment.runLoad(plan, List.of(), history);
            String name = workload.name().toLowerCase(Locale.ROOT);
            double replicaPercent = results.replicaShare() * PERCENT;
            benchmarkResults.add(
                    BenchmarkResult.atLeast(
                            name + "_replica", replicaPercent, "%", TARGET_REPLICA_PERCENT));
        }
        List<Violation> violations = environment.checkHistory(history);
        long succeeded =
                history.operations().stream()
                        .filter(operation -> operation.outcome() == Outcome.DONE)
                        .count();
        benchmarkResults.add(
                BenchmarkResult.atLeast("checked_operations", succeeded, "operations", 1));
        violations.stream().limit(3).forEach(System.err::println);
        benchmarkResults.add(BenchmarkResult.atMost("violations", violations.size(), "-", 0));
        return benchmarkResults;
    }

    /** Measures write latency; the group's name ends with its replication lag in ms. */
    static List<BenchmarkResult> measureWriteLatency(
            TestEnvironment environment, Duration duration) {
        String lagMillis = environment.group().substring(environment.group().lastIndexOf('-') + 1);
        LoadPlan plan =
                new LoadPlan(
                        Workload.WRITES, environment.group(), WRITES_PER_SECOND, duration, SEED, 0);
        LoadResults results = environment.runLoad(plan, List.of(), History.empty());
        double targetMillis = Long.parseLong(lagMillis) + TARGET_MILLIS_ABOVE_LAG;
        double medianMillis = LoadResults.percentileMillis(results.entryVmLatencies(), MEDIAN);
        return List.of(
                BenchmarkResult.atMost(
                        "write_p50_lag_" + lagMillis, medianMillis, "ms", targetMillis));
    }
}
