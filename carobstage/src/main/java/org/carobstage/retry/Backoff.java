package org.carobstage.retry;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off with jitter: the delay doubles with each attempt up to a maximum and is
 * drawn from its upper half.
 *
 * @param initialDelay the upper bound of the first delay
 * @param maxDelay the upper bound of all delays
 * @param random the source of the jitter
 */
public record Backoff(Duration initialDelay, Duration maxDelay, RandomGenerator random) {
    private static final int MAX_DOUBLINGS = 30;

    /** Rejects null components. */
    public Backoff {
        requireNonNull(initialDelay, "initialDelay is null");
        requireNonNull(maxDelay, "maxDelay is null");
        requireNonNull(random, "random is null");
    }

    /**
     * Draws a delay.
     *
     * @param attempt the number of the failed attempt, from 1 on
     * @return the delay before the next attempt
     */
    public Duration delay(int attempt) {
        int doublings = Math.min(Math.max(attempt - 1, 0), MAX_DOUBLINGS);
        long upperBound = Math.min(initialDelay.toNanos() << doublings, maxDelay.toNanos());
        if (upperBound <= 0) {
            upperBound = maxDelay.toNanos();
        }
        return Duration.ofNanos(upperBound - (long) (random.nextDouble() * upperBound / 2));
    }
}
