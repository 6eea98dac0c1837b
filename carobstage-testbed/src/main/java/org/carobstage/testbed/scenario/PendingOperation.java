package org.carobstage.testbed.scenario;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.carobstage.statement.Outcome;

/**
 * An operation that was started.
 *
 * @param startNanos when it was started
 * @param outcome its outcome and when it arrived, once it has
 */
record PendingOperation(long startNanos, CompletableFuture<Completion> completion) {
    /**
     * The end of an operation.
     *
     * @param outcome the outcome
     * @param endNanos when it arrived
     */
    record Completion(Outcome outcome, long endNanos) {
        List<Long> rowIds() {
            return outcome instanceof Outcome.Done done
                    ? done.rows().stream().map(row -> ((Number) row.get(0)).longValue()).toList()
                    : List.of();
        }
    }
}
