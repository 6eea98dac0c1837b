package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.Term;

/**
 * What a detector remembers from one tick to the next.
 *
 * @param tickNanos the last tick
 * @param trustNanos sightings asked for before this moment do not count
 * @param term the highest promised term
 * @param termNanos when that term was first seen
 * @param condition the condition at the last tick
 * @param sinceNanos since when the condition holds
 * @param ticks at how many ticks in a row it held
 */
public record DetectionState(
        long tickNanos,
        long trustNanos,
        Term term,
        long termNanos,
        Condition condition,
        long sinceNanos,
        int ticks) {
    /** Checks the state. */
    public DetectionState {
        requireNonNull(term, "term is null");
        requireNonNull(condition, "condition is null");
    }

    /**
     * Creates the state of a detector that starts now.
     *
     * @param nowNanos the time now, in ns of the runtime's clock
     * @return the state
     */
    public static DetectionState startingAt(long nowNanos) {
        return new DetectionState(
                nowNanos, nowNanos, Term.ZERO, nowNanos, Condition.HEALTHY, nowNanos, 0);
    }
}
