package org.carobstage.testbed.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.carobstage.http.JsonClient;
import org.carobstage.model.Address;
import org.carobstage.testbed.database.Fault;
import org.carobstage.testbed.database.InstanceServer.FaultMessage;
import org.carobstage.testbed.history.History;
import org.carobstage.testbed.load.DirectClient;
import org.carobstage.testbed.load.LoadPlan;
import org.carobstage.testbed.load.LoadResults;
import org.carobstage.testbed.load.Workload;

/**
 * Repeatedly freezes the primary under write load and measures the longest time without an
 * acknowledged write.
 */
final class FailoverBenchmark {
    private static final int MAX_ROUNDS = 20;
    private static final double WRITES_PER_SECOND = 100;
    private static final double TARGET_MEDIAN_MILLIS = 500;
    private static final double TARGET_WORST_MILLIS = 1_000;
    private static final Duration ROUND_DURATION = Duration.ofSeconds(3);
    private static final Duration FAULT_DELAY = Duration.ofSeconds(1);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private FailoverBenchmark() {}

    /** Runs two rounds per second of the duration, 20 at most. */
    static List<BenchmarkResult> measure(TestEnvironment environment, Duration duration) {
        History history = History.empty();
        List<Double> gapsMillis = new ArrayList<>();
        long rounds = Math.min(MAX_ROUNDS, 2 * duration.toSeconds());
        for (int seed = 0; seed < rounds; seed++) {
            gapsMillis.add(measureRound(environment, history, seed));
        }
        gapsMillis.sort(Double::compare);
        double worstMillis = gapsMillis.get(gapsMillis.size() - 1);
        return List.of(
                BenchmarkResult.atMost(
                        "gap_median",
                        gapsMillis.get(gapsMillis.size() / 2),
                        "ms",
                        TARGET_MEDIAN_MILLIS),
                BenchmarkResult.atMost(
                        "gap_worst_of_" + rounds, worstMillis, "ms", TARGET_WORST_MILLIS),
                BenchmarkResult.atMost(
                        "gap_violations", environment.checkHistory(history).size(), "-", 0));
    }

    private static double measureRound(TestEnvironment environment, History history, int seed) {
        Address primary = findPrimary(environment);
        LoadPlan plan =
                new LoadPlan(
                        Workload.WRITES,
                        environment.group(),
                        WRITES_PER_SECOND,
                        ROUND_DURATION,
                        seed,
                        0);
        CompletableFuture<LoadResults> load =
                CompletableFuture.supplyAsync(() -> environment.runLoad(plan, List.of(), history));
        LockSupport.parkNanos(FAULT_DELAY.toNanos());
        setFrozen(primary, true);
        LoadResults results = load.join();
        setFrozen(primary, false);
        LockSupport.parkNanos(FAULT_DELAY.toNanos());
        return results.longestWriteGapMillis();
    }

    private static Address findPrimary(TestEnvironment environment) {
        Address primary = null;
        long highestTerm = -1;
        for (Address address : environment.instanceAddresses()) {
            try (DirectClient client = DirectClient.of(address, 0)) {
                if (client.isPrimary() && client.term().number() > highestTerm) {
                    primary = address;
                    highestTerm = client.term().number();
                }
            }
        }
        if (primary == null) {
            throw new IllegalStateException("no primary in group " + environment.group());
        }
        return primary;
    }

    private static void setFrozen(Address instance, boolean frozen) {
        try (JsonClient client = JsonClient.of(instance)) {
            client.post(
                            "/fault",
                            new FaultMessage(Fault.FROZEN, frozen),
                            Void.class,
                            REQUEST_TIMEOUT)
                    .toCompletionStage()
                    .exceptionally(e -> null)
                    .toCompletableFuture()
                    .join();
        }
    }
}
