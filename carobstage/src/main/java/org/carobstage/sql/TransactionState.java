package org.carobstage.sql;

/** The transaction state of a session or connection after an answer. */
public enum TransactionState {
    /** No transaction is open. */
    IDLE,
    /** A transaction is open. */
    OPEN,
    /** The open transaction has failed and can only be ended. */
    FAILED
}
