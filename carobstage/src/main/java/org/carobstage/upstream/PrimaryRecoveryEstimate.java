package org.carobstage.upstream;

import java.time.Duration;

/** Estimates when a service without a primary will have one again. */
final class PrimaryRecoveryEstimate {
    /**
     * The time from the loss of a primary to the next one: failure detection by other processes,
     * failover and promotion.
     */
    static final Duration PROMOTION_TIME = Duration.ofMillis(1_700);

    /** The time to find the new primary after the old one has reported its replacement. */
    private static final Duration HANDOVER_TIME = Duration.ofMillis(200);

    /** The time to find the primary after a start, with a connection to each instance. */
    private static final Duration START_TIME = Duration.ofMillis(500);

    /** A primary that is later than expected by more than this may be absent for long. */
    private static final Duration MAX_DELAY = Duration.ofMillis(500);

    private long expectedNanos;

    private PrimaryRecoveryEstimate(long expectedNanos) {
        this.expectedNanos = expectedNanos;
    }

    static PrimaryRecoveryEstimate atStart(long nowNanos) {
        return new PrimaryRecoveryEstimate(nowNanos + START_TIME.toNanos());
    }

    void onPrimaryLost(long nowNanos) {
        expectedNanos = nowNanos + PROMOTION_TIME.toNanos();
    }

    void onPrimaryReplaced(long nowNanos) {
        expectedNanos = nowNanos + HANDOVER_TIME.toNanos();
    }

    /** Returns whether no primary is expected before a deadline, or the expected one is overdue. */
    boolean isUnavailableUntil(long deadlineNanos, long nowNanos) {
        return nowNanos - expectedNanos > MAX_DELAY.toNanos() || deadlineNanos - expectedNanos < 0;
    }

    /** Returns the time until a primary is expected; an overdue one may take as long again. */
    Duration remaining(long nowNanos) {
        Duration remaining = Duration.ofNanos(expectedNanos - nowNanos);
        return remaining.toMillis() > 0 ? remaining : PROMOTION_TIME;
    }

    /** Returns the message that gives the client the time after which to retry. */
    String retryAfterMessage(long nowNanos) {
        return "no primary, retry after " + remaining(nowNanos).toMillis() + " ms";
    }
}
