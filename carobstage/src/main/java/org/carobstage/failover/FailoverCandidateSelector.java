package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/**
 * Chooses the replica to promote. An acknowledged commit is held by at least one replica, but not
 * by a given one: so either every replica has been stopped and compared, or the newest acknowledged
 * position is known from all processes.
 */
final class FailoverCandidateSelector {
    private static final Comparator<Replica> ORDER =
            Comparator.comparing(Replica::received)
                    .thenComparing(r -> !r.draining())
                    .thenComparing(Replica::id);

    private FailoverCandidateSelector() {}

    /**
     * Chooses a replica.
     *
     * @param stopped the replicas that have stopped receiving
     * @param replicas how many replicas the service has
     * @param acknowledged the newest acknowledged position, empty if a process has not reported
     * @return the replica that surely holds every acknowledged commit, if there is one
     */
    static Optional<Replica> select(
            List<Replica> stopped, int replicas, Optional<LogPosition> acknowledged) {
        requireNonNull(stopped, "stopped is null");
        Optional<Replica> longest = stopped.stream().max(ORDER);
        if (stopped.size() >= replicas) {
            return longest;
        }
        return longest.filter(r -> acknowledged.filter(a -> r.received().isAtLeast(a)).isPresent());
    }

    /**
     * A replica that receives no more of the log.
     *
     * @param id the instance
     * @param received the end of what it has received
     * @param draining whether it is about to stop
     */
    record Replica(InstanceId id, LogPosition received, boolean draining) {}
}
