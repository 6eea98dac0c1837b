package org.carobstage.upstream;

import java.time.Duration;

/** The drain rate of a queue, estimated from the intervals between grants while requests wait. */
final class DrainRate {
    /** The weight of the newest interval in the moving average, which spans some ten intervals. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** An interval this long is a stall, such as a change of primary, and is not counted. */
    private static final Duration STALL = Duration.ofMillis(200);

    private final Duration stall;
    private double intervalNanos;
    private long lastGrantNanos;
    private boolean requestsWaiting;

    private DrainRate(Duration stall) {
        this.stall = stall;
    }

    /**
     * Creates a rate without samples.
     *
     * @return the rate
     */
    static DrainRate empty() {
        return withStall(STALL);
    }

    /**
     * Creates a rate without samples.
     *
     * @param stall the shortest interval that is not counted
     * @return the rate
     */
    static DrainRate withStall(Duration stall) {
        return new DrainRate(stall);
    }

    /**
     * Records that a request was granted.
     *
     * @param nowNanos the current monotonic time in ns
     * @param waiting whether other requests wait; if none do, the interval to the next grant is not
     *     counted
     */
    void recordGrant(long nowNanos, boolean waiting) {
        double interval = nowNanos - lastGrantNanos;
        if (requestsWaiting && interval < stall.toNanos()) {
            intervalNanos =
                    intervalNanos == 0
                            ? interval
                            : intervalNanos + NEWEST_WEIGHT * (interval - intervalNanos);
        }
        lastGrantNanos = nowNanos;
        requestsWaiting = waiting;
    }

    /**
     * Estimates the wait behind the given number of requests.
     *
     * @param ahead the number of requests served before
     * @return the time until these are served; zero without samples
     */
    Duration expectedWait(int ahead) {
        return Duration.ofNanos((long) (intervalNanos * ahead));
    }
}
