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
public record FailureDetectorState(
        long lastTickNanos,
        long validFromNanos,
        Term highestPromisedTerm,
        long termFirstSeenNanos,
        PrimaryHealth health,
        long healthSinceNanos,
        int consecutiveTickCount) {
    /** Checks the state. */
    public FailureDetectorState {
        requireNonNull(highestPromisedTerm, "term is null");
        requireNonNull(health, "condition is null");
    }

    /**
     * Creates the state of a detector that starts now.
     *
     * @param nowNanos the time now, in ns of the runtime's clock
     * @return the state
     */
    public static FailureDetectorState startingAt(long nowNanos) {
        return new FailureDetectorState(
                nowNanos, nowNanos, Term.ZERO, nowNanos, PrimaryHealth.HEALTHY, nowNanos, 0);
    }
}
