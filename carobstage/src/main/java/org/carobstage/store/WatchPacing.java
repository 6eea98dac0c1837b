package org.carobstage.store;

import java.time.Duration;

/**
 * Paces the watch calls of a process. Each change completes the watches of all processes, so when
 * many processes or instances register at once, the calls grow with the square of their number.
 * After a few calls in quick succession the next one is delayed, and its response combines the
 * changes until then. The delay is shorter while this process takes part in a failover.
 */
final class WatchPacing {
    /** Combines changes that are written together. */
    private static final Duration SHORT_DELAY = Duration.ofMillis(40);

    /** Delays a vote or the knowledge of a new primary by a fraction of a promotion. */
    private static final Duration FAILOVER_DELAY = Duration.ofMillis(200);

    /** A fraction of the seconds in which a configuration or a leaving instance takes effect. */
    private static final Duration CALM_DELAY = Duration.ofMillis(800);

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
     * @param failover whether a failover is in progress or may be due
     * @return the delay, longer while calls follow each other quickly
     */
    Duration nextDelay(long nowNanos, boolean failover) {
        long refills = (nowNanos - refilledNanos) / REFILL_INTERVAL.toNanos();
        refilledNanos += refills * REFILL_INTERVAL.toNanos();
        available = (int) Math.min(BURST_CALLS, available + refills);
        if (available == 0) {
            return failover ? FAILOVER_DELAY : CALM_DELAY;
        }
        available--;
        return SHORT_DELAY;
    }
}
