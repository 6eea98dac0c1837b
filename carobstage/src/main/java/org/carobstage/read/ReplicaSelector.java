package org.carobstage.read;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.group.GroupView;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/** Selects a replica that is fresh enough for a read. */
public final class ReplicaSelector {
    private ReplicaSelector() {}

    /**
     * Selects the replica with the lowest cost among those of the current term that have reached a
     * position and are within the staleness bound.
     *
     * @param view the last known state of the group
     * @param atLeast the log position that the replica must have reached
     * @param maxStaleness the staleness bound of the read
     * @param nowNanos the current monotonic time in ns
     * @param cost returns the cost of a read at an instance
     * @param isDraining returns whether an instance is draining and receives no new reads
     * @return the replica, or empty if none is known to be eligible
     */
    public static Optional<InstanceId> select(
            GroupView view,
            LogPosition atLeast,
            Duration maxStaleness,
            long nowNanos,
            ToLongFunction<InstanceId> cost,
            Predicate<InstanceId> isDraining) {
        Term term = view.primary().map(ReplicationStatus::promisedTerm).orElse(Term.ZERO);
        return view.observations().values().stream()
                .filter(o -> !o.status().isPrimary())
                .filter(
                        o ->
                                o.status().promisedTerm().equals(term)
                                        && o.status().isLogAtPromisedTerm())
                .filter(o -> o.status().lastPosition().isAtLeast(atLeast))
                .filter(o -> isFresh(o, maxStaleness, nowNanos))
                .map(o -> o.status().instance())
                .filter(isDraining.negate())
                .min(Comparator.comparingLong(cost).thenComparing(Comparator.naturalOrder()));
    }

    private static boolean isFresh(
            GroupView.Observation observation, Duration maxStaleness, long nowNanos) {
        long lag = observation.status().lagMillis();
        long age = Duration.ofNanos(nowNanos - observation.requestedAtNanos()).toMillis();
        return lag >= 0 && lag + age <= maxStaleness.toMillis();
    }
}
