package org.carobstage.error;

/** The codes of all errors that callers and operators may see. */
public enum ErrorCode {
    /** The request is malformed. */
    MALFORMED_REQUEST("CS-1001", 400),
    /** The service has no document. */
    UNKNOWN_SERVICE("CS-1002", 404),
    /** The document has no such request class. */
    UNKNOWN_CLASS("CS-1003", 404),
    /** The group is not configured. */
    UNKNOWN_GROUP("CS-1004", 404),
    /** The statement is longer than the settings allow. */
    STATEMENT_TOO_LARGE("CS-1005", 413),
    /** The entry VM has no such transaction. */
    UNKNOWN_TRANSACTION("CS-1006", 404),
    /** The path or method is not supported. */
    UNKNOWN_PATH("CS-1007", 404),
    /** The idempotency key was used for a different statement. */
    KEY_REUSED("CS-1008", 422),
    /** The request class requires an idempotency key. */
    KEY_REQUIRED("CS-1009", 428),
    /** The headers are longer than the settings allow. */
    HEADERS_TOO_LARGE("CS-1010", 431),
    /** The request body did not arrive in time. */
    REQUEST_TOO_SLOW("CS-1011", 408),
    /** No instance could accept the statement within the caller's patience. */
    NO_INSTANCE("CS-2001", 503),
    /** The wait for a slot would exceed the caller's patience. */
    OVERLOADED("CS-2002", 503),
    /** The process is shutting down. */
    STOPPING("CS-2003", 503),
    /** The backend server rejected the statement. */
    STATEMENT_REFUSED("CS-3001", 422),
    /** The statement was sent and no response proves its outcome. */
    OUTCOME_UNKNOWN("CS-3002", 504),
    /** The transaction was rolled back. */
    TRANSACTION_LOST("CS-3003", 409),
    /** The settings are invalid. */
    BAD_SETTINGS("CS-4001", 400),
    /** The document is invalid. */
    BAD_DOCUMENT("CS-4002", 400),
    /** The request conflicts with a concurrent change or statement. */
    CONFLICT("CS-4003", 409),
    /** The platform's key-value service did not respond. */
    PLATFORM_UNAVAILABLE("CS-4004", 503),
    /** The operator's key is missing or wrong. */
    UNAUTHORIZED("CS-4005", 401),
    /** An internal error of carobstage. */
    INTERNAL("CS-9001", 500);

    private final String code;
    private final int httpStatus;

    ErrorCode(String code, int httpStatus) {
        this.code = code;
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the code that callers receive.
     *
     * @return the code
     */
    public String code() {
        return code;
    }

    /**
     * Returns the HTTP status that goes with the code.
     *
     * @return the status
     */
    public int httpStatus() {
        return httpStatus;
    }
}
