package org.carobstage.front;

import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;

/** The answers to the statements that a session does not run because its key was revoked. */
final class RevokedSession {
    static final String REASON = "the API key was revoked";

    private boolean transactionOpen;
    private boolean notificationPending;

    private RevokedSession(boolean transactionOpen, boolean notificationPending) {
        this.transactionOpen = transactionOpen;
        this.notificationPending = notificationPending;
    }

    /**
     * Creates the state of a session in which no statement is in progress.
     *
     * @param transactionOpen whether the client has a transaction, which was rolled back
     * @param notificationPending whether the client has not been told yet
     */
    static RevokedSession of(boolean transactionOpen, boolean notificationPending) {
        return new RevokedSession(transactionOpen, notificationPending);
    }

    /** Returns the answer to the next statement, which has not run. */
    StatementResult answer(Statement statement) {
        notificationPending = false;
        boolean rolledBack = transactionOpen;
        if (statement instanceof Statement.Commit || statement instanceof Statement.Rollback) {
            transactionOpen = false;
        }
        return StatementResult.failed(
                Failure.of(rolledBack ? FailureCode.ROLLED_BACK : FailureCode.BUSY, REASON),
                transactionOpen ? TransactionState.FAILED : TransactionState.IDLE);
    }

    /** Returns whether the client still has to be told that its transaction was rolled back. */
    boolean isNotificationPending() {
        return notificationPending;
    }
}
