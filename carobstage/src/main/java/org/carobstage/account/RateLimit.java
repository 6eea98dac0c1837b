package org.carobstage.account;

/**
 * The limit of an account's operations over all processes.
 *
 * @param operationsPerSecond the sustained rate
 * @param burst the operations that may exceed the rate at once
 */
public record RateLimit(double operationsPerSecond, double burst) {
    /**
     * Rejects a negative rate or burst.
     *
     * @throws IllegalArgumentException if a value is negative or not a number
     */
    public RateLimit {
        if (!(operationsPerSecond >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException("rate limit is negative");
        }
    }
}
