package org.carobstage.backend;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.Term;

/** An open connection to an instance, which carries one request at a time. */
public interface BackendConnection {
    /**
     * Runs a statement, inside the open transaction if there is one.
     *
     * @param statement the statement
     * @param timeout how long to wait for the response
     * @return the result; the stage never completes exceptionally
     */
    CompletionStage<BackendResult> execute(BackendStatement statement, Duration timeout);

    /**
     * Opens a transaction.
     *
     * @param term the term under which it may commit
     * @param timeout how long to wait for the response
     * @return the result; the stage never completes exceptionally
     */
    CompletionStage<BackendResult> begin(Term term, Duration timeout);

    /**
     * Commits the open transaction.
     *
     * @param key the key to record in the transaction, or null
     * @param timeout how long to wait for the response
     * @return the result; the stage never completes exceptionally
     */
    CompletionStage<BackendResult> commit(IdempotencyKey key, Duration timeout);

    /**
     * Rolls the open transaction back.
     *
     * @param timeout how long to wait for the response
     * @return the result; the stage never completes exceptionally
     */
    CompletionStage<BackendResult> rollback(Duration timeout);

    /**
     * Looks up the outcome that is recorded for a key.
     *
     * @param term the term of the primary that must respond
     * @param key the key
     * @param timeout how long to wait for the response
     * @return the recorded result, or a refusal with {@link Refusal#KEY_UNKNOWN}
     */
    CompletionStage<BackendResult> lookUpOutcome(Term term, IdempotencyKey key, Duration timeout);

    /**
     * Checks that the connection still responds.
     *
     * @param timeout how long to wait for the response
     * @return the result; the stage never completes exceptionally
     */
    CompletionStage<BackendResult> ping(Duration timeout);

    /** Closes the connection; the instance rolls an open transaction back. */
    void close();
}
