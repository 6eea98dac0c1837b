package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;

/** An action that the promotion state machine requests. */
public sealed interface PromotionAction {
    /**
     * Requests an instance to promise the term.
     *
     * @param term the term
     * @param instance the instance
     */
    record Promise(Term term, InstanceId instance) implements PromotionAction {
        /** Rejects null components. */
        public Promise {
            requireNonNull(term, "term is null");
            requireNonNull(instance, "instance is null");
        }
    }

    /**
     * Makes an instance the primary of the term.
     *
     * @param term the term
     * @param instance the instance
     */
    record Promote(Term term, InstanceId instance) implements PromotionAction {
        /** Rejects null components. */
        public Promote {
            requireNonNull(term, "term is null");
            requireNonNull(instance, "instance is null");
        }
    }

    /**
     * Makes an instance follow the primary of the term.
     *
     * @param term the term
     * @param instance the instance
     * @param primary the primary
     */
    record Follow(Term term, InstanceId instance, InstanceId primary) implements PromotionAction {
        /** Rejects null components. */
        public Follow {
            requireNonNull(term, "term is null");
            requireNonNull(instance, "instance is null");
            requireNonNull(primary, "primary is null");
        }
    }

    /**
     * Reports that the promotion is complete.
     *
     * @param term the term
     * @param primary the new primary
     */
    record Complete(Term term, InstanceId primary) implements PromotionAction {
        /** Rejects null components. */
        public Complete {
            requireNonNull(term, "term is null");
            requireNonNull(primary, "primary is null");
        }
    }

    /**
     * Reports that the promotion was abandoned.
     *
     * @param term the term
     * @param detail the reason
     */
    record Abandon(Term term, String detail) implements PromotionAction {
        /** Rejects null components. */
        public Abandon {
            requireNonNull(term, "term is null");
            requireNonNull(detail, "detail is null");
        }
    }
}
