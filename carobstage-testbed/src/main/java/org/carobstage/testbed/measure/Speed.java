package org.carobstage.testbed.measure;

import java.time.Duration;
import java.util.List;
import org.carobstage.testbed.history.History;
import org.carobstage.testbed.load.CallerClient;
import org.carobstage.testbed.load.ClosedLoop;
import org.carobstage.testbed.load.DirectClient;
import org.carobstage.testbed.load.LoadFigures;
import org.carobstage.testbed.load.LoadPlan;
import org.carobstage.testbed.load.Workload;

/** Throughput of one entry VM, and the latency that it adds at half of the targeted throughput. */
final class Speed {
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

    private Speed() {}

    static List<Figure> throughput(Stand stand, Duration duration) {
        CallerClient entry = stand.entries().get(0);
        String token = stand.token();
        ClosedLoop.run(entry, stand.group(), token, CALLERS, WARM_UP);
        double rate = ClosedLoop.run(entry, stand.group(), token, CALLERS, duration);
        return List.of(Figure.atLeast("throughput", rate, "statements/s", TARGET_PER_SECOND));
    }

    static List<Figure> latency(Stand stand, Duration duration) {
        List<DirectClient> replicas = stand.replicas(DIRECT_CONNECTIONS);
        LoadPlan plan =
                new LoadPlan(
                        Workload.SHORT_READS,
                        stand.group(),
                        TARGET_PER_SECOND / 2,
                        duration,
                        SEED,
                        DIRECT_SHARE);
        stand.load(plan, replicas, History.empty());
        LoadFigures figures = stand.load(plan, replicas, History.empty());
        return List.of(
                Figure.atMost("added_p50", added(figures, MEDIAN), "ms", TARGET_P50_MILLIS),
                Figure.atMost("added_p99", added(figures, P99), "ms", TARGET_P99_MILLIS));
    }

    private static double added(LoadFigures figures, double percentile) {
        return LoadFigures.millis(figures.all(), percentile)
                - LoadFigures.millis(figures.direct(), percentile);
    }
}
