package org.carobstage.upstream;

import java.time.Duration;

/** When a service that lacks a primary may be expected to have one. */
final class PrimaryRecoveryEstimate {
    /** From the loss of a primary to the next one: suspicion by others, order and promotion. */
    private static final Duration PROMOTION_TIME = Duration.ofMillis(1_700);

    /** How long finding the new primary takes once the old one says that it has been replaced. */
    private static final Duration HANDOVER_TIME = Duration.ofMillis(200);

    /** How long finding the primary takes after a start: a connection to each instance. */
    private static final Duration START_TIME = Duration.ofMillis(500);

    /** A primary that is this much later than expected may stay away for long. */
    private static final Duration OVERDUE = Duration.ofMillis(500);

    private long expectedNanos;

    private PrimaryRecoveryEstimate(long expectedNanos) {
        this.expectedNanos = expectedNanos;
    }

    static PrimaryRecoveryEstimate atStart(long now) {
        return new PrimaryRecoveryEstimate(now + START_TIME.toNanos());
    }

    void onPrimaryLost(long now) {
        expectedNanos = now + PROMOTION_TIME.toNanos();
    }

    void onPrimaryReplaced(long now) {
        expectedNanos = now + HANDOVER_TIME.toNanos();
    }

    /** Tells whether a statement with this deadline would wait in vain. */
    boolean isUnavailableUntil(long deadlineNanos, long now) {
        return now - expectedNanos > OVERDUE.toNanos() || deadlineNanos - expectedNanos < 0;
    }

    /** Says for the client when to come back. */
    String retryAfterMessage(long now) {
        long millis = Duration.ofNanos(expectedNanos - now).toMillis();
        long retryAfter = millis > 0 ? millis : PROMOTION_TIME.toMillis();
        return "no primary, retry after " + retryAfter + " ms";
    }
}
