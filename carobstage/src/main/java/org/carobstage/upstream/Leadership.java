package org.carobstage.upstream;

import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;

/**
 * The leader of a service, as reported by the instances.
 *
 * @param leader the instance that leads the newest term seen, if known
 * @param term the newest term seen
 */
public record Leadership(Optional<InstanceId> leader, Term term) {
    private static final Leadership EMPTY = new Leadership(Optional.empty(), Term.ZERO);

    /**
     * Returns the state before any instance has responded.
     *
     * @return no leader in term zero
     */
    public static Leadership empty() {
        return EMPTY;
    }

    /**
     * Returns the state after an instance has reported that it leads a term.
     *
     * @param instance the instance
     * @param reportedTerm the term
     * @return the new state; the same if the term is older than the newest one seen
     */
    public Leadership withLeader(InstanceId instance, Term reportedTerm) {
        return term.isAfter(reportedTerm)
                ? this
                : new Leadership(Optional.of(instance), reportedTerm);
    }

    /**
     * Returns the state after an instance has reported that it does not lead.
     *
     * @param instance the instance
     * @param reportedTerm the newest term that it has seen
     * @return the new state, without a leader if that instance was the leader or if the term is
     *     newer than the leader's
     */
    public Leadership withFollower(InstanceId instance, Term reportedTerm) {
        boolean lost =
                reportedTerm.isAfter(term) || isLeader(instance) && !term.isAfter(reportedTerm);
        Term newest = reportedTerm.isAfter(term) ? reportedTerm : term;
        return new Leadership(lost ? Optional.empty() : leader, newest);
    }

    /**
     * Returns the state after an instance has rejected a statement because it does not lead.
     *
     * @param instance the instance
     * @return the new state, without a leader if that instance was the leader
     */
    public Leadership withoutLeader(InstanceId instance) {
        return isLeader(instance) ? new Leadership(Optional.empty(), term) : this;
    }

    /**
     * Returns whether an instance is the known leader.
     *
     * @param instance the instance
     * @return true if it is
     */
    public boolean isLeader(InstanceId instance) {
        return leader.filter(instance::equals).isPresent();
    }
}
