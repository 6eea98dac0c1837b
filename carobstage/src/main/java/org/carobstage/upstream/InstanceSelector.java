package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.carobstage.model.InstanceId;

/** Orders the instances that could run a statement by the latency to expect. */
final class InstanceSelector {
    /**
     * What a statement in another failure domain costs, in ms of latency. It outweighs the round
     * trip, so that bytes between domains are spent only where a queue is longer than this.
     */
    private static final double REMOTE_MILLIS = 30;

    private InstanceSelector() {}

    /**
     * Orders candidates.
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
        double queue =
                c.runningCount() >= c.slotCount() ? 1.0 + c.runningCount() - c.slotCount() : 0;
        double load = 1 + (double) c.runningCount() / Math.max(1, c.slotCount()) + queue;
        return c.latencyMillis() * load + (c.isLocal() ? 0 : REMOTE_MILLIS);
    }

    /**
     * An instance that could run a statement.
     *
     * @param id the instance
     * @param local whether it is in the failure domain of this VM
     * @param suspected whether it does not answer
     * @param draining whether it is about to stop
     * @param running how many statements of this process it runs
     * @param slots how many statements it runs at once
     * @param latencyMillis its recent latency, in ms
     */
    record Candidate(
            InstanceId id,
            boolean isLocal,
            boolean isSuspected,
            boolean isDraining,
            int runningCount,
            int slotCount,
            double latencyMillis) {}
}
