package org.carobstage.front;

import java.time.Duration;

/**
 * The stages of a graceful shutdown, all within the shutdown timeout. Delays count from its start.
 *
 * @param readinessPropagationDelay how long the process continues to serve clients until the
 *     platform has detected that it is not ready
 * @param idleCloseWindow the period over which the closing of idle sessions is spread
 * @param transactionAbortDelay the delay after which idle transactions are rolled back
 * @param sessionEndDelay the delay after which no more statements start, whatever their timeout
 * @param exitDelay the delay after which statements in progress are answered as timed out and the
 *     process exits
 */
record ShutdownSchedule(
        Duration readinessPropagationDelay,
        Duration idleCloseWindow,
        Duration transactionAbortDelay,
        Duration sessionEndDelay,
        Duration exitDelay) {
    /** The platform probes readiness every second and stops routing clients after two failures. */
    private static final Duration PROBE_FAILURE_PERIOD = Duration.ofMillis(2_200);

    private static final Duration EXIT_MARGIN = Duration.ofMillis(600);

    /**
     * Returns whether a statement may start. In the first half of the shutdown every statement may,
     * since clients still connect and most statements need a small part of their timeout; one that
     * does not end in time is answered at the exit. Later, its timeout must end before the exit.
     *
     * @param statementTimeout the timeout of the statement's route
     * @param elapsed the time since the start of the shutdown
     */
    boolean mayStart(Duration statementTimeout, Duration elapsed) {
        return elapsed.compareTo(transactionAbortDelay) <= 0
                || elapsed.plus(statementTimeout).compareTo(exitDelay) <= 0;
    }

    static ShutdownSchedule of(Duration timeout) {
        Duration third = timeout.dividedBy(3);
        Duration readinessDelay =
                third.compareTo(PROBE_FAILURE_PERIOD) < 0 ? third : PROBE_FAILURE_PERIOD;
        Duration exitDelay =
                timeout.compareTo(EXIT_MARGIN) > 0 ? timeout.minus(EXIT_MARGIN) : timeout;
        Duration abortDelay = timeout.dividedBy(2);
        return new ShutdownSchedule(
                readinessDelay,
                timeout.dividedBy(6),
                abortDelay,
                abortDelay.plus(exitDelay).dividedBy(2),
                exitDelay);
    }
}
