package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import org.carobstage.backend.Standing;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;

/** How far a proposer is. */
public sealed interface PromotionState {
    /** Nothing is proposed. */
    record Idle() implements PromotionState {}

    /**
     * Instances are asked to promise a term.
     *
     * @param term the term
     * @param replaced the primary to replace, or empty
     * @param preferred the instance to choose among equals, or empty
     * @param promised the standings of those that have promised the term
     * @param untilNanos when to give up
     */
    record Promising(
            Term term,
            Optional<InstanceId> replaced,
            Optional<InstanceId> preferred,
            Map<InstanceId, Standing> promised,
            long untilNanos)
            implements PromotionState {
        /** Checks the state. */
        public Promising {
            requireNonNull(term, "term is null");
            requireNonNull(replaced, "replaced is null");
            requireNonNull(preferred, "preferred is null");
            promised = Map.copyOf(promised);
        }
    }

    /**
     * One instance is asked to become primary; no other may be asked at this term.
     *
     * @param term the term
     * @param chosen the instance
     * @param untilNanos when to give up
     */
    record Promoting(Term term, InstanceId chosen, long untilNanos) implements PromotionState {
        /** Checks the state. */
        public Promoting {
            requireNonNull(term, "term is null");
            requireNonNull(chosen, "chosen is null");
        }
    }
}
