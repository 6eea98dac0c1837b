package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;

/** An event that the promotion state machine handles. */
public sealed interface PromotionEvent {
    /**
     * A promotion is requested.
     *
     * @param term the term to propose, which no other proposal uses
     * @param replacedPrimary the primary to replace, whose log is ignored, or empty if none
     * @param preferredCandidate the instance to promote if log positions are equal, or empty
     */
    record PromotionRequested(
            Term term,
            Optional<InstanceId> replacedPrimary,
            Optional<InstanceId> preferredCandidate)
            implements PromotionEvent {
        /** Rejects null components. */
        public PromotionRequested {
            requireNonNull(term, "term is null");
            requireNonNull(replacedPrimary, "replacedPrimary is null");
            requireNonNull(preferredCandidate, "preferredCandidate is null");
        }
    }

    /**
     * An instance responded to a request of this proposer.
     *
     * @param term the term of the request
     * @param status the replication status after the request
     */
    record ResponseReceived(Term term, ReplicationStatus status) implements PromotionEvent {
        /** Rejects null components. */
        public ResponseReceived {
            requireNonNull(term, "term is null");
            requireNonNull(status, "status is null");
        }
    }

    /** A timer tick. */
    record Tick() implements PromotionEvent {}
}
