package org.carobstage.failover;

import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ServiceGroup;

/**
 * Replication at the target of a promotion. While the target receives, it also gets the commits
 * that another replica confirms after a restart, which ends the pause of that replica.
 */
final class TargetReplication {
    private final ServiceGroup group;
    private final FailoverLease lease;
    private Optional<InstanceStatus> status = Optional.empty();

    TargetReplication(ServiceGroup group, FailoverLease lease) {
        this.group = group;
        this.lease = lease;
    }

    /**
     * Returns whether the target's last status shows that it receives and has reached a position.
     *
     * @param position the position
     */
    boolean isReceivingFrom(LogPosition position) {
        return status.filter(TargetReplication::isReceiving)
                .map(InstanceStatus::receivedPosition)
                .filter(p -> p.isAtLeast(position))
                .isPresent();
    }

    /** Returns the position that the target has received, by its last status. */
    Optional<LogPosition> receivedPosition() {
        return status.map(InstanceStatus::receivedPosition);
    }

    /**
     * Queries the target's status, and resumes its replication unless it is known to receive. A
     * holder whose lease has ended resumes nothing, since the next one may have paused the target.
     */
    void query(InstanceId target) {
        query(target, () -> {});
    }

    /** Queries the target as {@link #query(InstanceId)} does, and runs a task when it responds. */
    void query(InstanceId target, Runnable onStatus) {
        boolean receiving = status.filter(TargetReplication::isReceiving).isPresent();
        group.trySendControlCommand(
                target,
                receiving || !lease.isHeld()
                        ? new Statement.QueryStatus()
                        : new Statement.ResumeReplication(),
                response -> {
                    status = response.status();
                    onStatus.run();
                });
    }

    private static boolean isReceiving(InstanceStatus status) {
        return !status.isPrimary() && !ReplicaPauses.isPaused(status);
    }
}
