package org.carobstage.upstream;

import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;

/**
 * Which instance leads a service, as far as instances have proved it.
 *
 * @param leader the instance that leads the newest term seen, if it is known
 * @param term the newest term seen
 */
public record Leadership(Optional<InstanceId> leader, Term term) {
    private static final Leadership EMPTY = new Leadership(Optional.empty(), Term.ZERO);

    /**
     * Returns the state before any instance has answered.
     *
     * @return no leader in term zero
     */
    public static Leadership empty() {
        return EMPTY;
    }

    /**
     * Takes over that an instance said it leads a term.
     *
     * @param instance the instance
     * @param proven the term
     * @return the new state; an older term changes nothing
     */
    public Leadership withLeader(InstanceId instance, Term proven) {
        return term.isAfter(proven) ? this : new Leadership(Optional.of(instance), proven);
    }

    /**
     * Takes over that an instance does not lead.
     *
     * @param instance the instance
     * @param seen the newest term that it knows
     * @return the new state, without a leader if that instance was it
     */
    public Leadership withFollower(InstanceId instance, Term seen) {
        boolean lost = isLeader(instance) && !term.isAfter(seen);
        Term newest = seen.isAfter(term) ? seen : term;
        return new Leadership(lost ? Optional.empty() : leader, newest);
    }

    /**
     * Takes over that an instance refused a statement because it does not lead.
     *
     * @param instance the instance
     * @return the new state, without a leader if that instance was it
     */
    public Leadership withoutLeader(InstanceId instance) {
        return isLeader(instance) ? new Leadership(Optional.empty(), term) : this;
    }

    /**
     * Tells whether an instance is the known leader.
     *
     * @param instance the instance
     * @return true if so
     */
    public boolean isLeader(InstanceId instance) {
        return leader.filter(instance::equals).isPresent();
    }
}
