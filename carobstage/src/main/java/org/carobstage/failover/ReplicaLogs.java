package org.carobstage.failover;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.failover.FailoverCandidateSelector.Replica;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.upstream.ServiceGroup;

/**
 * Compares the logs of the replicas of a primary that is replaced. They don't grow while the
 * replicas are paused, except that of one replica, which may receive.
 */
final class ReplicaLogs {
    private final ServiceGroup group;
    private final InstanceId oldPrimary;
    private final ReplicaPauses pauses;
    private final TargetReplication receiving;

    ReplicaLogs(
            ServiceGroup group,
            InstanceId oldPrimary,
            ReplicaPauses pauses,
            TargetReplication receiving) {
        this.group = group;
        this.oldPrimary = oldPrimary;
        this.pauses = pauses;
        this.receiving = receiving;
    }

    /** Returns the registered replicas. */
    List<InstanceEntry> replicas() {
        return group.instances().stream().filter(e -> !e.id().equals(oldPrimary)).toList();
    }

    /** Returns whether an instance is one of the registered replicas. */
    boolean isRegistered(InstanceId id) {
        return replicas().stream().anyMatch(e -> e.id().equals(id));
    }

    /** Returns the ids of the registered replicas but one. */
    List<InstanceId> idsExcept(Optional<InstanceId> excluded) {
        return replicas().stream()
                .map(InstanceEntry::id)
                .filter(id -> !excluded.equals(Optional.of(id)))
                .toList();
    }

    /** Returns the newest position of those replicas that are paused. */
    LogPosition newestPaused(Collection<InstanceId> ids) {
        return ids.stream()
                .filter(pauses::isPaused)
                .map(pauses::receivedPosition)
                .reduce(LogPosition.empty(), LogPosition::max);
    }

    /**
     * Returns the replicas whose position is known.
     *
     * @param receivingReplica the replica that receives, if any
     */
    List<Replica> candidates(Optional<InstanceId> receivingReplica) {
        return replicas().stream()
                .flatMap(
                        e ->
                                position(e.id(), receivingReplica).stream()
                                        .map(p -> new Replica(e.id(), p, e.draining())))
                .toList();
    }

    /**
     * Returns whether every replica that is not a candidate stopped before a position that a
     * candidate has reached, so that it holds no commit that the candidates lack.
     *
     * @param absentReplicas replicas that are not registered
     */
    boolean areOthersStopped(List<Replica> candidates, Collection<InstanceId> absentReplicas) {
        LogPosition longest =
                candidates.stream()
                        .map(Replica::received)
                        .reduce(LogPosition.empty(), LogPosition::max);
        return Stream.concat(
                        replicas().stream()
                                .map(InstanceEntry::id)
                                .filter(
                                        id ->
                                                candidates.stream()
                                                        .noneMatch(c -> c.id().equals(id))),
                        absentReplicas.stream())
                .allMatch(
                        id ->
                                group.quorum()
                                        .stoppedBefore(id)
                                        .filter(longest::isAtLeast)
                                        .isPresent());
    }

    private Optional<LogPosition> position(InstanceId id, Optional<InstanceId> receivingReplica) {
        if (receivingReplica.equals(Optional.of(id))) {
            return receiving.receivedPosition();
        }
        return Optional.of(id).filter(pauses::isPaused).map(pauses::receivedPosition);
    }
}
