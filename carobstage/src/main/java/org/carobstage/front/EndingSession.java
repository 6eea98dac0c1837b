package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;

/** The answers to the statements that a session does not run because it is about to be closed. */
final class EndingSession {
    private final Reason reason;
    private boolean transactionOpen;
    private boolean answerPending;

    private EndingSession(Reason reason, boolean transactionOpen, boolean answerPending) {
        this.reason = reason;
        this.transactionOpen = transactionOpen;
        this.answerPending = answerPending;
    }

    /**
     * Creates the state of a session in which no statement is in progress.
     *
     * @param reason why the session ends
     * @param transactionOpen whether the client has a transaction, which was rolled back
     * @param answerPending whether the session waits for one more statement to answer
     */
    static EndingSession of(Reason reason, boolean transactionOpen, boolean answerPending) {
        return new EndingSession(
                requireNonNull(reason, "reason is null"), transactionOpen, answerPending);
    }

    /** Returns the answer to the next statement, which has not run. */
    StatementResult answer(Statement statement) {
        answerPending = false;
        boolean rolledBack = transactionOpen;
        if (statement instanceof Statement.Commit || statement instanceof Statement.Rollback) {
            transactionOpen = false;
        }
        return StatementResult.failed(
                Failure.of(rolledBack ? FailureCode.ROLLED_BACK : FailureCode.BUSY, reason.text),
                transactionOpen ? TransactionState.FAILED : TransactionState.IDLE);
    }

    /** Returns whether the session waits for one more statement to answer. */
    boolean isAnswerPending() {
        return answerPending;
    }

    /** Why a session ends although its client is connected. */
    enum Reason {
        /** The key does not hold the account of the session any more. */
        REVOKED("revoked", "the API key was revoked"),
        /** The process stops and would cut off statements that start now. */
        STOPPING("stopping", "the process is stopping");

        private final String label;
        private final String text;

        Reason(String label, String text) {
            this.label = label;
            this.text = text;
        }

        /** Returns the value of the metric's label. */
        String label() {
            return label;
        }

        /** Returns the text for the client. */
        String text() {
            return text;
        }
    }
}
