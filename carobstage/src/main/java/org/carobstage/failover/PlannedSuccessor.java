package org.carobstage.failover;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.failover.FailoverCandidateSelector.Replica;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ServiceGroup;

/** The successor of a primary that still serves, which must reach the end of its log. */
final class PlannedSuccessor {
    private final ServiceGroup group;
    private final InstanceId oldPrimary;
    private Optional<LogPosition> primaryPosition = Optional.empty();
    private final TargetReplication replication;

    PlannedSuccessor(ServiceGroup group, InstanceId oldPrimary, TargetReplication replication) {
        this.group = group;
        this.oldPrimary = oldPrimary;
        this.replication = replication;
    }

    /** Returns the replica that has received the most, of those that respond and stay. */
    Optional<InstanceId> select(List<InstanceEntry> replicas) {
        return replicas.stream()
                .filter(e -> !e.draining() && !group.isSuspected(e.id()))
                .filter(e -> group.status(e.id()).isPresent())
                .map(e -> new Replica(e.id(), group.status(e.id()).get().receivedPosition(), false))
                .max(Comparator.comparing(Replica::received))
                .map(Replica::id);
    }

    /**
     * Returns whether the successor receives and has reached the end of the old primary's log.
     *
     * @param newestOfOthers the newest position of the replicas that are paused
     */
    boolean hasCaughtUp(LogPosition newestOfOthers) {
        return primaryPosition
                .filter(p -> replication.isReceivingFrom(p.max(newestOfOthers)))
                .isPresent();
    }

    /**
     * Queries the end of the old primary's log, which covers every commit that was acknowledged
     * before the other replicas were paused, and whether the successor receives. An earlier
     * failover may have left it paused.
     */
    void query(InstanceId successor) {
        if (primaryPosition.isEmpty()) {
            group.trySendControlCommand(
                    oldPrimary,
                    new Statement.QueryStatus(),
                    response ->
                            primaryPosition =
                                    response.status()
                                            .filter(InstanceStatus::isPrimary)
                                            .map(InstanceStatus::receivedPosition));
        }
        replication.query(successor);
    }
}
