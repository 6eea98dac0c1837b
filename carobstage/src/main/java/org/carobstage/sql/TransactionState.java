package org.carobstage.sql;

/** The transaction state of a session or connection after a statement. */
public enum TransactionState {
    /** No transaction is open. */
    IDLE,
    /** A transaction is open. */
    OPEN,
    /** The open transaction has failed; only COMMIT or ROLLBACK is accepted. */
    FAILED
}
