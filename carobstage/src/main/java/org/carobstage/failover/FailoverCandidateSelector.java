package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/**
 * Selects the replica to promote. At least one replica holds a given acknowledged commit, but not
 * necessarily the same one for each commit. So either the logs of all replicas must be compared
 * while replication is paused, or every process must have reported its newest acknowledged
 * position.
 */
final class FailoverCandidateSelector {
    private static final Comparator<Replica> PREFERENCE_ORDER =
            Comparator.comparing(Replica::received)
                    .thenComparing(r -> !r.draining())
                    .thenComparing(Replica::id);

    private FailoverCandidateSelector() {}

    /**
     * Selects the replica to promote.
     *
     * @param pausedReplicas the replicas whose replication is paused
     * @param replicaCount the number of replicas of the service, including the absent ones
     * @param acknowledgedPosition the newest acknowledged position, or empty if a process has not
     *     reported one
     * @return the replica that is known to hold every acknowledged commit, if there is one
     */
    static Optional<Replica> select(
            List<Replica> pausedReplicas,
            int replicaCount,
            Optional<LogPosition> acknowledgedPosition) {
        requireNonNull(pausedReplicas, "pausedReplicas is null");
        Optional<Replica> preferred = pausedReplicas.stream().max(PREFERENCE_ORDER);
        if (pausedReplicas.size() >= replicaCount) {
            return preferred;
        }
        return preferred.filter(
                r -> acknowledgedPosition.filter(a -> r.received().isAtLeast(a)).isPresent());
    }

    /**
     * A replica whose replication is paused.
     *
     * @param id the instance
     * @param received the last log position that it has received
     * @param draining whether the replica is about to stop
     */
    record Replica(InstanceId id, LogPosition received, boolean draining) {}
}
