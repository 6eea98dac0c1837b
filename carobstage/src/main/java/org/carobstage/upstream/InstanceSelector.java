package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.carobstage.model.InstanceId;

/** Ranks the instances that could run a statement by their expected latency. */
final class InstanceSelector {
    /**
     * The penalty for an instance in another failure domain, in ms of latency. It exceeds the round
     * trip, so that traffic crosses domains only to avoid a queue that is longer than this.
     */
    private static final double REMOTE_PENALTY_MILLIS = 30;

    private InstanceSelector() {}

    /**
     * Ranks candidates by their expected latency.
     *
     * @param candidates the instances
     * @return the candidates, the best one first; suspected instances come last
     */
    static List<Candidate> rankByLatency(Stream<Candidate> candidates) {
        requireNonNull(candidates, "candidates is null");
        return candidates
                .sorted(
                        Comparator.comparing(Candidate::isSuspected)
                                .thenComparing(Candidate::isDraining)
                                .thenComparingDouble(InstanceSelector::expectedMillis)
                                .thenComparing(Candidate::id))
                .toList();
    }

    private static double expectedMillis(Candidate c) {
        double queueFactor =
                c.runningCount() >= c.slotCount() ? 1.0 + c.runningCount() - c.slotCount() : 0;
        double loadFactor =
                1 + (double) c.runningCount() / Math.max(1, c.slotCount()) + queueFactor;
        return c.latencyMillis() * loadFactor
                + c.costMillis()
                + (c.isLocal() ? 0 : REMOTE_PENALTY_MILLIS);
    }

    /**
     * An instance that could run a statement.
     *
     * @param id the instance
     * @param isLocal whether it is in the failure domain of this VM
     * @param isSuspected whether the failure detector suspects it
     * @param isDraining whether it is about to stop
     * @param runningCount how many statements of this process it runs
     * @param slotCount how many statements it runs at once
     * @param latencyMillis its recent latency, in ms
     * @param costMillis the cost of choosing it: how long a connection takes to open if none is
     *     idle, and the wait before a read goes to a primary that is left to other statements, in
     *     ms
     */
    record Candidate(
            InstanceId id,
            boolean isLocal,
            boolean isSuspected,
            boolean isDraining,
            int runningCount,
            int slotCount,
            double latencyMillis,
            double costMillis) {}
}
