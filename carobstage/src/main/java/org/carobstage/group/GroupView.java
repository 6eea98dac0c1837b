package org.carobstage.group;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;
import org.carobstage.promotion.InstanceObservation;

/**
 * The last known replication status of each instance of a group.
 *
 * @param spec the specification of the group
 * @param observations the last observation of each instance that has responded at least once
 */
public record GroupView(GroupSpec spec, Map<InstanceId, Observation> observations) {
    /** Rejects null components and copies the collections. */
    public GroupView {
        requireNonNull(spec, "spec is null");
        observations = Map.copyOf(observations);
    }

    /**
     * Creates the view of a group without observations.
     *
     * @param spec the specification of the group
     * @return the view
     */
    public static GroupView of(GroupSpec spec) {
        return new GroupView(spec, Map.of());
    }

    /**
     * Returns a view that includes a replication status.
     *
     * @param status the replication status
     * @param requestedAtNanos when the status was requested, in ns of the monotonic clock
     * @return the new view, or this view if it already holds a newer status of the instance
     */
    public GroupView withObservation(ReplicationStatus status, long requestedAtNanos) {
        Observation lastObservation = observations.get(status.instance());
        if (lastObservation != null && lastObservation.isNewerThan(status, requestedAtNanos)) {
            return this;
        }
        Map<InstanceId, Observation> updated = new HashMap<>(observations);
        updated.put(status.instance(), new Observation(status, requestedAtNanos));
        return new GroupView(spec, updated);
    }

    /**
     * Returns the highest term that any instance has promised.
     *
     * @return the term
     */
    public Term highestTerm() {
        return observations.values().stream()
                .map(o -> o.status().promisedTerm())
                .max(Comparator.naturalOrder())
                .orElse(Term.ZERO);
    }

    /**
     * Returns the primary of the highest term that has one.
     *
     * @return the status of the primary, or empty if none is known
     */
    public Optional<ReplicationStatus> primary() {
        return observations.values().stream()
                .map(Observation::status)
                .filter(ReplicationStatus::isPrimary)
                .max(Comparator.comparing(ReplicationStatus::promisedTerm));
    }

    /**
     * Returns the observations for the promotion state machine.
     *
     * @return the observations
     */
    public List<InstanceObservation> instanceObservations() {
        return observations.values().stream().map(Observation::toInstanceObservation).toList();
    }

    /**
     * A replication status and when it was requested.
     *
     * @param status the replication status
     * @param requestedAtNanos when the request was sent, in ns of the monotonic clock
     */
    public record Observation(ReplicationStatus status, long requestedAtNanos) {
        /**
         * Returns the observation for the promotion state machine.
         *
         * @return the observation
         */
        public InstanceObservation toInstanceObservation() {
            return new InstanceObservation(status, requestedAtNanos);
        }

        private boolean isNewerThan(ReplicationStatus other, long otherRequestedAtNanos) {
            int byTerm = status.promisedTerm().compareTo(other.promisedTerm());
            return byTerm > 0 || byTerm == 0 && requestedAtNanos - otherRequestedAtNanos > 0;
        }
    }
}
