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

/** The two teams' workloads at their sizes, each history checked. */
final class WorkloadBenchmark {
    private static final double RATE = 100;
    private static final double WRITE_RATE = 50;
    private static final double TARGET_REPLICA_PERCENT = 95;
    private static final double PERCENT = 100;
    private static final double TARGET_ABOVE_LAG_MILLIS = 20;
    private static final double MEDIAN = 50;
    private static final long SEED = 2;

    private WorkloadBenchmark() {}

    static List<BenchmarkResult> measure(TestEnvironment stand, Duration duration) {
        List<BenchmarkResult> figures = new ArrayList<>();
        History history = History.empty();
        for (Workload workload : List.of(Workload.AGRESTE, Workload.LUZON)) {
            LoadPlan plan = new LoadPlan(workload, stand.group(), RATE, duration, SEED, 0);
            LoadResults load = stand.runLoad(plan, List.of(), history);
            String name = workload.name().toLowerCase(Locale.ROOT);
            double share = load.replicaShare() * PERCENT;
            figures.add(
                    BenchmarkResult.atLeast(name + "_replica", share, "%", TARGET_REPLICA_PERCENT));
        }
        List<Violation> violations = stand.checkHistory(history);
        long done = history.operations().stream().filter(o -> o.outcome() == Outcome.DONE).count();
        figures.add(BenchmarkResult.atLeast("checked_operations", done, "operations", 1));
        violations.stream().limit(3).forEach(System.err::println);
        figures.add(BenchmarkResult.atMost("violations", violations.size(), "-", 0));
        return figures;
    }

    /** The group's name ends with its lag in ms. */
    static List<BenchmarkResult> measureWriteLatency(TestEnvironment stand, Duration duration) {
        String lag = stand.group().substring(stand.group().lastIndexOf('-') + 1);
        LoadPlan plan = new LoadPlan(Workload.WRITES, stand.group(), WRITE_RATE, duration, SEED, 0);
        LoadResults load = stand.runLoad(plan, List.of(), History.empty());
        double target = Long.parseLong(lag) + TARGET_ABOVE_LAG_MILLIS;
        double median = LoadResults.percentileMillis(load.entryVmLatencies(), MEDIAN);
        return List.of(BenchmarkResult.atMost("write_p50_lag_" + lag, median, "ms", target));
    }
}
