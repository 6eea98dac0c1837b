package org.carobstage.sql;

/** Why a statement failed, and whether the attempt may have changed data. */
public enum FailureCode {
    /** No slot or connection was free; the statement was not executed. */
    BUSY(true),
    /** The transaction was rolled back. */
    ROLLED_BACK(true),
    /** The replica has not reached the required log position; the statement was not executed. */
    REPLICA_BEHIND(true),
    /** The instance is not the primary; the statement was not executed. */
    NOT_PRIMARY(true),
    /** The address belongs to another instance or service; the statement was not executed. */
    WRONG_INSTANCE(true),
    /** The instance accepts no more connections; the statement was not executed. */
    CONNECTION_LIMIT(true),
    /** The connection has no prepared statement of that name; nothing was executed. */
    NOT_PREPARED(false),
    /** The statement was executed and failed. */
    FAILED(false),
    /** No result arrived before the timeout. */
    TIMED_OUT(false),
    /** It is unknown whether a commit or write took effect. */
    OUTCOME_UNKNOWN(false),
    /** No route exists for the database. */
    UNKNOWN_DATABASE(false),
    /** No account holds the client's API key. */
    UNAUTHORIZED(false),
    /** The statement exceeds the size limit. */
    TOO_LARGE(false),
    /** The statement is malformed or not allowed in the current transaction state. */
    MALFORMED(false),
    /** Any other failure code of an instance. */
    OTHER(false);

    private final boolean safeToRetry;

    FailureCode(boolean safeToRetry) {
        this.safeToRetry = safeToRetry;
    }

    /**
     * Returns whether the failed attempt is guaranteed to have changed no data.
     *
     * @return true if the client can safely retry the operation
     */
    public boolean isSafeToRetry() {
        return safeToRetry;
    }

    /**
     * Returns whether the instance rejected the statement without executing it.
     *
     * @return true if the statement can be retried at another instance
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
