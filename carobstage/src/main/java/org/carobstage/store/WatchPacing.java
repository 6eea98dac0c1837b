package org.carobstage.store;

import java.time.Duration;

/**
 * Paces the watch calls of a process. Each change completes the watches of all processes, so when
 * many processes join at once, the calls grow with the square of their number. After a few calls in
 * quick succession the next one is delayed, and its response combines the changes until then.
 */
final class WatchPacing {
    /** Combines changes that are written together. */
    private static final Duration SHORT_DELAY = Duration.ofMillis(40);

    /** Delays the knowledge of a new primary by no more than a fraction of its promotion. */
    private static final Duration LONG_DELAY = Duration.ofMillis(200);

    /** The number of calls that may follow each other after the short delay. */
    private static final int BURST_CALLS = 6;

    /** The time after which another call may follow after the short delay. */
    private static final Duration REFILL_INTERVAL = Duration.ofMillis(500);

    private int available = BURST_CALLS;
    private long refilledNanos;

    private WatchPacing(long nowNanos) {
        this.refilledNanos = nowNanos;
    }

    static WatchPacing of(long nowNanos) {
        return new WatchPacing(nowNanos);
    }

    /**
     * Returns the delay before the next call.
     *
     * @param nowNanos the current monotonic time in ns
     * @return the delay, longer while calls follow each other quickly
     */
    Duration nextDelay(long nowNanos) {
        long refills = (nowNanos - refilledNanos) / REFILL_INTERVAL.toNanos();
        refilledNanos += refills * REFILL_INTERVAL.toNanos();
        available = (int) Math.min(BURST_CALLS, available + refills);
        if (available == 0) {
            return LONG_DELAY;
        }
        available--;
        return SHORT_DELAY;
    }
}
