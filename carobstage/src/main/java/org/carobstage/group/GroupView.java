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
 * The last known standing of each instance of a group.
 *
 * @param spec the group
 * @param observed the last observation of each instance that ever answered
 */
public record GroupView(GroupSpec spec, Map<InstanceId, Observation> observations) {
    /** Checks the view. */
    public GroupView {
        requireNonNull(spec, "spec is null");
        observations = Map.copyOf(observations);
    }

    /**
     * Creates the view of a group of which nothing is known yet.
     *
     * @param spec the group
     * @return the view
     */
    public static GroupView of(GroupSpec spec) {
        return new GroupView(spec, Map.of());
    }

    /**
     * Takes a new standing in.
     *
     * @param standing the standing
     * @param nanos when the request that it answers was sent, in ns of the runtime's clock
     * @return the new view; the same if a later standing is known
     */
    public GroupView withObservation(ReplicationStatus standing, long nanos) {
        Observation known = observations.get(standing.instance());
        if (known != null && known.isNewerThan(standing, nanos)) {
            return this;
        }
        Map<InstanceId, Observation> next = new HashMap<>(observations);
        next.put(standing.instance(), new Observation(standing, nanos));
        return new GroupView(spec, next);
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
     * @return the standing of the primary, or empty if none is known
     */
    public Optional<ReplicationStatus> primary() {
        return observations.values().stream()
                .map(Observation::status)
                .filter(ReplicationStatus::isPrimary)
                .max(Comparator.comparing(ReplicationStatus::promisedTerm));
    }

    /**
     * Returns the observations as the promotion rules take them.
     *
     * @return the sightings
     */
    public List<InstanceObservation> instanceObservations() {
        return observations.values().stream().map(Observation::toInstanceObservation).toList();
    }

    /**
     * A standing and when it was asked for.
     *
     * @param standing the standing
     * @param nanos when the request was sent, in ns of the runtime's clock
     */
    public record Observation(ReplicationStatus status, long requestedAtNanos) {
        /**
         * Returns the observation as the promotion rules take it.
         *
         * @return the sighting
         */
        public InstanceObservation toInstanceObservation() {
            return new InstanceObservation(status, requestedAtNanos);
        }

        private boolean isNewerThan(ReplicationStatus other, long otherNanos) {
            int byTerm = status.promisedTerm().compareTo(other.promisedTerm());
            return byTerm > 0 || byTerm == 0 && requestedAtNanos - otherNanos > 0;
        }
    }
}
