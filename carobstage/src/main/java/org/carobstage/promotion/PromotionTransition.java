package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * What a decision led to.
 *
 * @param state the new state
 * @param actions what to do, in this order
 */
public record PromotionTransition(PromotionState state, List<PromotionAction> actions) {
    /** Checks the step. */
    public PromotionTransition {
        requireNonNull(state, "state is null");
        actions = List.copyOf(actions);
    }

    /**
     * Creates a step.
     *
     * @param state the new state
     * @param actions what to do, in this order
     * @return the step
     */
    public static PromotionTransition of(PromotionState state, PromotionAction... actions) {
        return new PromotionTransition(state, List.of(actions));
    }
}
