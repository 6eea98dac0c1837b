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

/** Freezes the primary again and again under writes and measures how long none is acknowledged. */
final class FailoverBenchmark {
    private static final int MAX_ROUNDS = 20;
    private static final double WRITE_RATE = 100;
    private static final double TARGET_MEDIAN_MILLIS = 500;
    private static final double TARGET_WORST_MILLIS = 1_000;
    private static final Duration ROUND = Duration.ofSeconds(3);
    private static final Duration BEFORE_FAULT = Duration.ofSeconds(1);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private FailoverBenchmark() {}

    /** Runs two rounds for each second of the duration, twenty at the most. */
    static List<BenchmarkResult> measure(TestEnvironment stand, Duration duration) {
        History history = History.empty();
        List<Double> gaps = new ArrayList<>();
        long rounds = Math.min(MAX_ROUNDS, 2 * duration.toSeconds());
        for (int seed = 0; seed < rounds; seed++) {
            gaps.add(round(stand, history, seed));
        }
        gaps.sort(Double::compare);
        double worst = gaps.get(gaps.size() - 1);
        return List.of(
                BenchmarkResult.atMost(
                        "gap_median", gaps.get(gaps.size() / 2), "ms", TARGET_MEDIAN_MILLIS),
                BenchmarkResult.atMost("gap_worst_of_" + rounds, worst, "ms", TARGET_WORST_MILLIS),
                BenchmarkResult.atMost(
                        "gap_violations", stand.checkHistory(history).size(), "-", 0));
    }

    private static double round(TestEnvironment stand, History history, int seed) {
        Address primary = primary(stand);
        LoadPlan plan = new LoadPlan(Workload.WRITES, stand.group(), WRITE_RATE, ROUND, seed, 0);
        CompletableFuture<LoadResults> load =
                CompletableFuture.supplyAsync(() -> stand.runLoad(plan, List.of(), history));
        LockSupport.parkNanos(BEFORE_FAULT.toNanos());
        fault(primary, true);
        LoadResults figures = load.join();
        fault(primary, false);
        LockSupport.parkNanos(BEFORE_FAULT.toNanos());
        return figures.longestWriteGapMillis();
    }

    private static Address primary(TestEnvironment stand) {
        Address found = null;
        long highest = -1;
        for (Address address : stand.instanceAddresses()) {
            try (DirectClient client = DirectClient.of(address, 0)) {
                if (client.isPrimary() && client.term().number() > highest) {
                    found = address;
                    highest = client.term().number();
                }
            }
        }
        if (found == null) {
            throw new IllegalStateException("no primary in " + stand.group());
        }
        return found;
    }

    private static void fault(Address instance, boolean on) {
        try (JsonClient client = JsonClient.of(instance)) {
            client.post("/fault", new FaultMessage(Fault.FROZEN, on), Void.class, TIMEOUT)
                    .toCompletionStage()
                    .exceptionally(e -> null)
                    .toCompletableFuture()
                    .join();
        }
    }
}
