package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;

/** What a proposer wants done. */
public sealed interface PromotionAction {
    /**
     * Ask an instance to promise the term.
     *
     * @param term the term
     * @param instance the instance
     */
    record Promise(Term term, InstanceId instance) implements PromotionAction {
        /** Checks the action. */
        public Promise {
            requireNonNull(term, "term is null");
            requireNonNull(instance, "instance is null");
        }
    }

    /**
     * Make an instance the primary of the term.
     *
     * @param term the term
     * @param instance the instance
     */
    record Promote(Term term, InstanceId instance) implements PromotionAction {
        /** Checks the action. */
        public Promote {
            requireNonNull(term, "term is null");
            requireNonNull(instance, "instance is null");
        }
    }

    /**
     * Make an instance follow the primary of the term.
     *
     * @param term the term
     * @param instance the instance
     * @param primary the primary
     */
    record Follow(Term term, InstanceId instance, InstanceId primary) implements PromotionAction {
        /** Checks the action. */
        public Follow {
            requireNonNull(term, "term is null");
            requireNonNull(instance, "instance is null");
            requireNonNull(primary, "primary is null");
        }
    }

    /**
     * The promotion is complete; tell the others.
     *
     * @param term the term
     * @param primary the new primary
     */
    record Complete(Term term, InstanceId primary) implements PromotionAction {
        /** Checks the action. */
        public Complete {
            requireNonNull(term, "term is null");
            requireNonNull(primary, "primary is null");
        }
    }

    /**
     * The promotion came to nothing.
     *
     * @param term the term
     * @param detail why
     */
    record Abandon(Term term, String detail) implements PromotionAction {
        /** Checks the action. */
        public Abandon {
            requireNonNull(term, "term is null");
            requireNonNull(detail, "detail is null");
        }
    }
}
