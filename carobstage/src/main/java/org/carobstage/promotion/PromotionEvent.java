package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;

/** What a proposer is told. */
public sealed interface PromotionEvent {
    /**
     * A new primary is wanted.
     *
     * @param term the term to propose; nobody else ever proposes the same one
     * @param replaced the primary to replace, whose log does not count, or empty if none
     * @param preferred the instance to choose among equals, or empty if it does not matter
     */
    record PromotionRequested(
            Term term,
            Optional<InstanceId> replacedPrimary,
            Optional<InstanceId> preferredCandidate)
            implements PromotionEvent {
        /** Checks the event. */
        public PromotionRequested {
            requireNonNull(term, "term is null");
            requireNonNull(replacedPrimary, "replaced is null");
            requireNonNull(preferredCandidate, "preferred is null");
        }
    }

    /**
     * An instance answered a request of this proposer.
     *
     * @param term the term that the request was for
     * @param standing the standing after the request
     */
    record ResponseReceived(Term term, ReplicationStatus status) implements PromotionEvent {
        /** Checks the event. */
        public ResponseReceived {
            requireNonNull(term, "term is null");
            requireNonNull(status, "standing is null");
        }
    }

    /** Time has passed. */
    record Tick() implements PromotionEvent {}
}
