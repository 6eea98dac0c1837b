package org.carobstage.sql;

/** Why a statement failed, and whether that leaves a trace at the instance. */
public enum FailureCode {
    /** No slot or connection was free; the statement did not run. */
    BUSY(true),
    /** The transaction was rolled back. */
    ROLLED_BACK(true),
    /** The replica lacks the required log position; the statement did not run. */
    REPLICA_BEHIND(true),
    /** The instance is not the primary; the statement did not run. */
    NOT_PRIMARY(true),
    /** Another instance or service answers at the address; the statement did not run. */
    WRONG_INSTANCE(true),
    /** The instance takes no more connections; the statement did not run. */
    CONNECTION_LIMIT(true),
    /** The connection has no prepared statement of that name; the statement did not run. */
    NOT_PREPARED(false),
    /** The statement ran and failed. */
    FAILED(false),
    /** No answer came in time. */
    TIMED_OUT(false),
    /** Whether a commit or write took effect is unknown. */
    OUTCOME_UNKNOWN(false),
    /** No route has the database's name. */
    UNKNOWN_DATABASE(false),
    /** The statement is larger than the limit. */
    TOO_LARGE(false),
    /** The statement can't be read or doesn't fit the transaction state. */
    MALFORMED(false),
    /** Any other code of an instance. */
    OTHER(false);

    private final boolean nothingKept;

    FailureCode(boolean nothingKept) {
        this.nothingKept = nothingKept;
    }

    /**
     * Tells whether the code promises that nothing of the attempt is kept.
     *
     * @return true if the client can safely repeat the operation
     */
    public boolean isSafeToRetry() {
        return nothingKept;
    }

    /**
     * Tells whether the instance answered without running the statement.
     *
     * @return true if the statement can be sent to another instance
     */
    public boolean isNotExecuted() {
        return this == BUSY
                || this == REPLICA_BEHIND
                || this == NOT_PRIMARY
                || this == WRONG_INSTANCE
                || this == CONNECTION_LIMIT
                || this == NOT_PREPARED;
    }
}
