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
public record Answer(
        List<String> rows,
        String signature,
        Optional<Failure> failure,
        TransactionState state,
        Optional<LogPosition> position) {
    /** The signature of answers that no instance gave. */
    public static final String UNSIGNED = "-";

    /** Checks the answer. */
    public Answer {
        rows = List.copyOf(rows);
        requireNonNull(signature, "signature is null");
        requireNonNull(failure, "failure is null");
        requireNonNull(state, "state is null");
        requireNonNull(position, "position is null");
    }

    /**
     * Creates the answer to a statement that no instance needs to run.
     *
     * @param state the transaction state afterwards
     * @return the answer
     */
    public static Answer done(TransactionState state) {
        return new Answer(List.of(), UNSIGNED, Optional.empty(), state, Optional.empty());
    }

    /**
     * Creates the answer to a statement that failed.
     *
     * @param failure why it failed
     * @param state the transaction state afterwards
     * @return the answer
     */
    public static Answer failed(Failure failure, TransactionState state) {
        return new Answer(List.of(), UNSIGNED, Optional.of(failure), state, Optional.empty());
    }

    /**
     * Returns the same answer with another transaction state.
     *
     * @param other the state
     * @return the answer
     */
    public Answer withState(TransactionState other) {
        return new Answer(rows, signature, failure, other, position);
    }

    /**
     * Tells whether the statement succeeded.
     *
     * @return true if there is no failure
     */
    public boolean succeeded() {
        return failure.isEmpty();
    }

    /**
     * Tells whether the statement failed in a certain way.
     *
     * @param code the code
     * @return true if it failed with that code
     */
    public boolean failedWith(FailureCode code) {
        return failure.filter(f -> f.code() == code).isPresent();
    }
}
