package org.carobstage.testbed.scenario;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.carobstage.statement.Outcome;

/**
 * An operation that was started and may not have completed yet.
 *
 * @param startNanos the clock time at which it was started
 * @param completion a future that completes with the outcome
 */
record PendingOperation(long startNanos, CompletableFuture<Completion> completion) {
    /**
     * The outcome of an operation and the time at which it arrived.
     *
     * @param outcome the outcome
     * @param endNanos the clock time at which the outcome arrived
     */
    record Completion(Outcome outcome, long endNanos) {
        List<Long> rowIds() {
            return outcome instanceof Outcome.Done done
                    ? done.rows().stream().map(row -> ((Number) row.get(0)).longValue()).toList()
                    : List.of();
        }
    }
}
