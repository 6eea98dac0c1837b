package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.Term;

/**
 * State that a failure detector keeps from one tick to the next; times are in ns of the monotonic
 * clock.
 *
 * @param lastTickNanos the time of the last tick
 * @param validFromNanos observations requested before this time are ignored
 * @param highestPromisedTerm the highest promised term
 * @param termFirstSeenNanos when that term was first observed
 * @param health the health of the primary at the last tick
 * @param healthSinceNanos when the primary entered this health
 * @param consecutiveTickCount at how many consecutive ticks it had this health
 */
public record FailureDetectorState(
        long lastTickNanos,
        long validFromNanos,
        Term highestPromisedTerm,
        long termFirstSeenNanos,
        PrimaryHealth health,
        long healthSinceNanos,
        int consecutiveTickCount) {
    /** Rejects null components. */
    public FailureDetectorState {
        requireNonNull(highestPromisedTerm, "highestPromisedTerm is null");
        requireNonNull(health, "health is null");
    }

    /**
     * Creates the state of a detector that starts now.
     *
     * @param nowNanos the current monotonic time in ns
     * @return the initial state
     */
    public static FailureDetectorState startingAt(long nowNanos) {
        return new FailureDetectorState(
                nowNanos, nowNanos, Term.ZERO, nowNanos, PrimaryHealth.HEALTHY, nowNanos, 0);
    }
}
