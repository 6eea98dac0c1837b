package org.carobstage.retry;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Delays that double with each attempt up to a limit; each is drawn from its upper half.
 *
 * @param first the longest first delay
 * @param limit the longest delay
 * @param random draws the delays
 */
public record Backoff(Duration initialDelay, Duration maxDelay, RandomGenerator random) {
    private static final int MAX_DOUBLINGS = 30;

    /** Checks the back-off. */
    public Backoff {
        requireNonNull(initialDelay, "first is null");
        requireNonNull(maxDelay, "limit is null");
        requireNonNull(random, "random is null");
    }

    /**
     * Draws a delay.
     *
     * @param attempt the number of the failed attempt, from 1 on
     * @return how long to wait before the next
     */
    public Duration delay(int attempt) {
        int doublings = Math.min(Math.max(attempt - 1, 0), MAX_DOUBLINGS);
        long longest = Math.min(initialDelay.toNanos() << doublings, maxDelay.toNanos());
        if (longest <= 0) {
            longest = maxDelay.toNanos();
        }
        return Duration.ofNanos(longest - (long) (random.nextDouble() * longest / 2));
    }
}
