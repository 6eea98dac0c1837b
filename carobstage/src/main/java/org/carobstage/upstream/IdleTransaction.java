package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

/**
 * A transaction that holds a connection while no statement of it is in progress.
 *
 * @param sinceNanos the monotonic time in ns since which it is idle
 * @param expiresNanos the monotonic time in ns at which it is rolled back if it stays idle
 * @param rollback rolls it back
 */
public record IdleTransaction(long sinceNanos, long expiresNanos, Runnable rollback) {
    /** Rejects null components. */
    public IdleTransaction {
        requireNonNull(rollback, "rollback is null");
    }
}
