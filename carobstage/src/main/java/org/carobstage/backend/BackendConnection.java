package org.carobstage.backend;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.Term;

/** One open connection to an instance; it carries one exchange at a time. */
public interface BackendConnection {
    /**
     * Runs a statement, inside the open transaction if there is one.
     *
     * @param statement the statement
     * @param timeout how long to wait for the answer
     * @return the answer; the stage never fails
     */
    CompletionStage<BackendResult> execute(BackendStatement statement, Duration timeout);

    /**
     * Opens a transaction.
     *
     * @param term the term under which it may commit
     * @param timeout how long to wait for the answer
     * @return the answer; the stage never fails
     */
    CompletionStage<BackendResult> begin(Term term, Duration timeout);

    /**
     * Commits the open transaction.
     *
     * @param key the key to record in the transaction, or null
     * @param timeout how long to wait for the answer
     * @return the answer; the stage never fails
     */
    CompletionStage<BackendResult> commit(IdempotencyKey key, Duration timeout);

    /**
     * Rolls the open transaction back.
     *
     * @param timeout how long to wait for the answer
     * @return the answer; the stage never fails
     */
    CompletionStage<BackendResult> rollback(Duration timeout);

    /**
     * Asks what is recorded for a key.
     *
     * @param term the term whose primary must answer
     * @param key the key
     * @param timeout how long to wait for the answer
     * @return the recorded answer, or a refusal with {@link Refusal#KEY_UNKNOWN}
     */
    CompletionStage<BackendResult> lookUpOutcome(Term term, IdempotencyKey key, Duration timeout);

    /**
     * Checks that the connection still answers.
     *
     * @param timeout how long to wait for the answer
     * @return the answer; the stage never fails
     */
    CompletionStage<BackendResult> ping(Duration timeout);

    /** Closes the connection; the instance rolls an open transaction back. */
    void close();
}
