package org.carobstage.error;

/** The codes of all errors that callers and operators may see. */
public enum ErrorCode {
    /** The request could not be read. */
    MALFORMED_REQUEST("CS-1001", 400),
    /** The service has no document. */
    UNKNOWN_SERVICE("CS-1002", 404),
    /** The document has no such request class. */
    UNKNOWN_CLASS("CS-1003", 404),
    /** The group is not configured. */
    UNKNOWN_GROUP("CS-1004", 404),
    /** The statement is longer than the settings allow. */
    STATEMENT_TOO_LARGE("CS-1005", 413),
    /** The transaction is not known here. */
    UNKNOWN_TRANSACTION("CS-1006", 404),
    /** The path or method is not served. */
    UNKNOWN_PATH("CS-1007", 404),
    /** The key was used for a different statement. */
    KEY_REUSED("CS-1008", 422),
    /** The request class demands an idempotency key. */
    KEY_REQUIRED("CS-1009", 428),
    /** The headers are longer than the settings allow. */
    HEADERS_TOO_LARGE("CS-1010", 431),
    /** The body did not arrive in time. */
    REQUEST_TOO_SLOW("CS-1011", 408),
    /** No instance could take the statement within the caller's patience. */
    NO_INSTANCE("CS-2001", 503),
    /** The wait for a slot would exceed the caller's patience. */
    OVERLOADED("CS-2002", 503),
    /** The process is stopping. */
    STOPPING("CS-2003", 503),
    /** The backend server refused the statement. */
    STATEMENT_REFUSED("CS-3001", 422),
    /** The statement was sent and no answer proves what became of it. */
    OUTCOME_UNKNOWN("CS-3002", 504),
    /** The transaction was rolled back. */
    TRANSACTION_LOST("CS-3003", 409),
    /** The settings have errors. */
    BAD_SETTINGS("CS-4001", 400),
    /** The document has errors. */
    BAD_DOCUMENT("CS-4002", 400),
    /** Somebody else changed the same thing first. */
    CONFLICT("CS-4003", 409),
    /** The platform's key-value service did not answer. */
    PLATFORM_UNAVAILABLE("CS-4004", 503),
    /** The operator's key is missing or wrong. */
    UNAUTHORIZED("CS-4005", 401),
    /** A fault in carobstage itself. */
    INTERNAL("CS-9001", 500);

    private final String code;
    private final int httpStatus;

    ErrorCode(String code, int httpStatus) {
        this.code = code;
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the code as callers see it.
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
