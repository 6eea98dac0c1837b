package org.carobstage.front;

import java.time.Duration;

/**
 * The stages of a graceful stop, all within its limit.
 *
 * @param notice how long the process serves on while the platform learns that it is not ready
 * @param spread over how long the idle sessions are closed
 * @param transactions when idle transactions are rolled back
 * @param end when the process ends with whatever is left
 */
record ShutdownSchedule(
        Duration readinessPropagationDelay,
        Duration idleCloseWindow,
        Duration transactionAbortDelay,
        Duration exitDelay) {
    /** The platform asks each second and stops sending clients after two refusals. */
    private static final Duration TWO_PROBES = Duration.ofMillis(2_200);

    private static final Duration MARGIN = Duration.ofMillis(600);

    static ShutdownSchedule of(Duration limit) {
        Duration third = limit.dividedBy(3);
        Duration notice = third.compareTo(TWO_PROBES) < 0 ? third : TWO_PROBES;
        Duration end = limit.compareTo(MARGIN) > 0 ? limit.minus(MARGIN) : limit;
        return new ShutdownSchedule(notice, limit.dividedBy(6), limit.dividedBy(2), end);
    }
}
