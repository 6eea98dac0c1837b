package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Result of a state transition.
 *
 * @param state the new state
 * @param actions the actions to perform, in this order
 */
public record PromotionTransition(PromotionState state, List<PromotionAction> actions) {
    /** Rejects null components and copies the collections. */
    public PromotionTransition {
        requireNonNull(state, "state is null");
        actions = List.copyOf(actions);
    }

    /**
     * Creates a transition.
     *
     * @param state the new state
     * @param actions the actions to perform, in this order
     * @return the transition
     */
    public static PromotionTransition of(PromotionState state, PromotionAction... actions) {
        return new PromotionTransition(state, List.of(actions));
    }
}
