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

/** Chooses a replica that is fresh enough for a read. */
public final class ReplicaSelector {
    private ReplicaSelector() {}

    /**
     * Chooses the cheapest replica of the current term that covers a position and is inside the
     * allowed staleness.
     *
     * @param view what is known of the group
     * @param atLeast what the read must cover
     * @param staleness how old the data may be
     * @param nowNanos the time now, in ns of the runtime's clock
     * @param cost the cost of a read at an instance; the lowest wins
     * @param drained tells whether an instance is leaving and gets no new reads
     * @return the replica, or empty if none is known to fit
     */
    public static Optional<InstanceId> select(
            GroupView view,
            LogPosition atLeast,
            Duration staleness,
            long nowNanos,
            ToLongFunction<InstanceId> cost,
            Predicate<InstanceId> drained) {
        Term term = view.primary().map(ReplicationStatus::promisedTerm).orElse(Term.ZERO);
        return view.observations().values().stream()
                .filter(o -> !o.status().isPrimary())
                .filter(
                        o ->
                                o.status().promisedTerm().equals(term)
                                        && o.status().isLogAtPromisedTerm())
                .filter(o -> o.status().lastPosition().isAtLeast(atLeast))
                .filter(o -> isFresh(o, staleness, nowNanos))
                .map(o -> o.status().instance())
                .filter(drained.negate())
                .min(Comparator.comparingLong(cost).thenComparing(Comparator.naturalOrder()));
    }

    private static boolean isFresh(
            GroupView.Observation observation, Duration staleness, long nowNanos) {
        long lag = observation.status().lagMillis();
        long age = Duration.ofNanos(nowNanos - observation.requestedAtNanos()).toMillis();
        return lag >= 0 && lag + age <= staleness.toMillis();
    }
}
