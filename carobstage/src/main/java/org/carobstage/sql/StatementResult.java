package org.carobstage.sql;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.carobstage.model.LogPosition;

/**
 * The complete result of a statement.
 *
 * @param rows the data rows
 * @param signature the instance's proof of execution, {@code -} if no instance executed it
 * @param failure the failure, if the statement failed
 * @param transactionState the transaction state after the statement
 * @param logPosition the end of the instance's log, if an instance returned the result
 */
public record StatementResult(
        List<String> rows,
        String signature,
        Optional<Failure> failure,
        TransactionState transactionState,
        Optional<LogPosition> logPosition) {
    /** The signature of results that no instance produced. */
    public static final String UNSIGNED = "-";

    /** Rejects null components and copies the collections. */
    public StatementResult {
        rows = List.copyOf(rows);
        requireNonNull(signature, "signature is null");
        requireNonNull(failure, "failure is null");
        requireNonNull(transactionState, "transactionState is null");
        requireNonNull(logPosition, "logPosition is null");
    }

    /**
     * Creates the result of a successful statement that was not sent to an instance.
     *
     * @param state the transaction state after the statement
     * @return the result
     */
    public static StatementResult success(TransactionState state) {
        return new StatementResult(List.of(), UNSIGNED, Optional.empty(), state, Optional.empty());
    }

    /**
     * Creates the result of a failed statement.
     *
     * @param failure the failure
     * @param state the transaction state after the statement
     * @return the result
     */
    public static StatementResult failed(Failure failure, TransactionState state) {
        return new StatementResult(
                List.of(), UNSIGNED, Optional.of(failure), state, Optional.empty());
    }

    /**
     * Returns this result with another transaction state.
     *
     * @param state the transaction state
     * @return the result
     */
    public StatementResult withTransactionState(TransactionState state) {
        return new StatementResult(rows, signature, failure, state, logPosition);
    }

    /**
     * Returns whether the statement succeeded.
     *
     * @return true if there is no failure
     */
    public boolean isSuccessful() {
        return failure.isEmpty();
    }

    /**
     * Returns whether the statement failed with the given code.
     *
     * @param code the failure code
     * @return true if it failed with that code
     */
    public boolean hasFailureCode(FailureCode code) {
        return failure.filter(f -> f.code() == code).isPresent();
    }
}
