package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The bound on the operations of an account: in any window at most (rate x window + burst) x (1 +
 * excess) + slack.
 *
 * @param window the length of the window, {@code quota_window_s}
 * @param excess the permitted relative excess, {@code quota_over}
 * @param slack the permitted absolute excess, {@code quota_slack}
 */
public record QuotaPolicy(Duration window, double excess, int slack) {
    private static final Duration LONGEST_VALIDITY = Duration.ofMillis(500);

    /**
     * Rejects values that permit no operation.
     *
     * @throws IllegalArgumentException if the window is not positive or another value is negative
     */
    public QuotaPolicy {
        requireNonNull(window, "window is null");
        if (window.isNegative() || window.isZero() || !(excess >= 0) || slack < 0) {
            throw new IllegalArgumentException("quota policy is out of range");
        }
    }

    /**
     * Returns the policy of the default settings.
     *
     * @return 5 s, 10 % and 20 operations
     */
    public static QuotaPolicy standard() {
        return new QuotaPolicy(Duration.ofSeconds(5), 0.1, 20);
    }

    /**
     * Returns how long tokens are valid after the request for them was sent. Tokens that are spent
     * late add rate x validity to a window, which the relative excess has to cover.
     *
     * @return 500 ms, or less if the excess permits less
     */
    public Duration tokenValidity() {
        double nanos = Math.min(window.toNanos() * excess, LONGEST_VALIDITY.toNanos());
        return Duration.ofNanos((long) nanos);
    }
}
