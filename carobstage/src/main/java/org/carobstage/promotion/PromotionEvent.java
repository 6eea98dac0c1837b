package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.backend.Standing;
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
    record Wanted(Term term, Optional<InstanceId> replaced, Optional<InstanceId> preferred)
            implements PromotionEvent {
        /** Checks the event. */
        public Wanted {
            requireNonNull(term, "term is null");
            requireNonNull(replaced, "replaced is null");
            requireNonNull(preferred, "preferred is null");
        }
    }

    /**
     * An instance answered a request of this proposer.
     *
     * @param term the term that the request was for
     * @param standing the standing after the request
     */
    record Answered(Term term, Standing standing) implements PromotionEvent {
        /** Checks the event. */
        public Answered {
            requireNonNull(term, "term is null");
            requireNonNull(standing, "standing is null");
        }
    }

    /** Time has passed. */
    record Ticked() implements PromotionEvent {}
}
