package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The tokens that the owner of a shard grants to a process for one account.
 *
 * @param tokens the operations that may run, not negative
 * @param untilNext the time after which the bucket has a token again
 */
public record Grant(int tokens, Duration untilNext) {
    /**
     * Rejects negative values.
     *
     * @throws IllegalArgumentException if a value is negative
     */
    public Grant {
        requireNonNull(untilNext, "untilNext is null");
        if (tokens < 0 || untilNext.isNegative()) {
            throw new IllegalArgumentException("grant is negative");
        }
    }
}
