package org.carobstage.upstream;

import java.time.Duration;

/** How fast a queue is served, from the pauses between grants while others wait. */
final class DrainRate {
    /** The weight of the newest pause in the moving average; some ten pauses make it up. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** A pause this long is a stall, such as a change of primary, and says nothing of the rate. */
    private static final Duration STALL = Duration.ofMillis(200);

    private double pauseNanos;
    private long grantedNanos;
    private boolean othersWait;

    private DrainRate() {}

    /**
     * Creates a rate that is not known yet.
     *
     * @return the rate
     */
    static DrainRate empty() {
        return new DrainRate();
    }

    /**
     * Notes that a request was granted.
     *
     * @param now the monotonic time
     * @param waiting whether other requests wait; if none did, the pause says nothing
     */
    void recordGrant(long now, boolean waiting) {
        double pause = now - grantedNanos;
        if (othersWait && pause < STALL.toNanos()) {
            pauseNanos =
                    pauseNanos == 0 ? pause : pauseNanos + NEWEST_WEIGHT * (pause - pauseNanos);
        }
        grantedNanos = now;
        othersWait = waiting;
    }

    /**
     * Estimates a wait.
     *
     * @param ahead the requests that are served before
     * @return the time until these are served; zero as long as nothing is known
     */
    Duration expectedWait(int ahead) {
        return Duration.ofNanos((long) (pauseNanos * ahead));
    }
}
