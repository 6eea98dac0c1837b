package org.carobstage.sql;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.carobstage.model.LogPosition;

/**
 * The whole answer to a statement.
 *
 * @param rows the data rows
 * @param signature the instance's proof that it ran the statement, {@code -} if none did
 * @param failure why the statement failed, if it did
 * @param state the transaction state afterwards
 * @param position the end of the instance's log, if an instance answered
 */
public record StatementResult(
        List<String> rows,
        String signature,
        Optional<Failure> failure,
        TransactionState transactionState,
        Optional<LogPosition> logPosition) {
    /** The signature of answers that no instance gave. */
    public static final String UNSIGNED = "-";

    /** Checks the answer. */
    public StatementResult {
        rows = List.copyOf(rows);
        requireNonNull(signature, "signature is null");
        requireNonNull(failure, "failure is null");
        requireNonNull(transactionState, "state is null");
        requireNonNull(logPosition, "position is null");
    }

    /**
     * Creates the answer to a statement that no instance needs to run.
     *
     * @param state the transaction state afterwards
     * @return the answer
     */
    public static StatementResult success(TransactionState state) {
        return new StatementResult(List.of(), UNSIGNED, Optional.empty(), state, Optional.empty());
    }

    /**
     * Creates the answer to a statement that failed.
     *
     * @param failure why it failed
     * @param state the transaction state afterwards
     * @return the answer
     */
    public static StatementResult failed(Failure failure, TransactionState state) {
        return new StatementResult(
                List.of(), UNSIGNED, Optional.of(failure), state, Optional.empty());
    }

    /**
     * Returns the same answer with another transaction state.
     *
     * @param other the state
     * @return the answer
     */
    public StatementResult withTransactionState(TransactionState other) {
        return new StatementResult(rows, signature, failure, other, logPosition);
    }

    /**
     * Tells whether the statement succeeded.
     *
     * @return true if there is no failure
     */
    public boolean isSuccessful() {
        return failure.isEmpty();
    }

    /**
     * Tells whether the statement failed in a certain way.
     *
     * @param code the code
     * @return true if it failed with that code
     */
    public boolean hasFailureCode(FailureCode code) {
        return failure.filter(f -> f.code() == code).isPresent();
    }
}
