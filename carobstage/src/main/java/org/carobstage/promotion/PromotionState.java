package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import org.carobstage.backend.ReplicationStatus;
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
    record CollectingPromises(
            Term term,
            Optional<InstanceId> replacedPrimary,
            Optional<InstanceId> preferredCandidate,
            Map<InstanceId, ReplicationStatus> promises,
            long deadlineNanos)
            implements PromotionState {
        /** Checks the state. */
        public CollectingPromises {
            requireNonNull(term, "term is null");
            requireNonNull(replacedPrimary, "replaced is null");
            requireNonNull(preferredCandidate, "preferred is null");
            promises = Map.copyOf(promises);
        }
    }

    /**
     * One instance is asked to become primary; no other may be asked at this term.
     *
     * @param term the term
     * @param chosen the instance
     * @param untilNanos when to give up
     */
    record Promoting(Term term, InstanceId candidate, long deadlineNanos)
            implements PromotionState {
        /** Checks the state. */
        public Promoting {
            requireNonNull(term, "term is null");
            requireNonNull(candidate, "chosen is null");
        }
    }
}
