package org.carobstage.sql;

import static java.util.Objects.requireNonNull;

/**
 * Why a statement failed.
 *
 * @param code the failure code
 * @param message a description for operators and users
 */
public record Failure(FailureCode code, String message) {
    /** Rejects null components. */
    public Failure {
        requireNonNull(code, "code is null");
        requireNonNull(message, "message is null");
    }

    /**
     * Creates a failure.
     *
     * @param code the failure code
     * @param message a description for operators and users
     * @return the failure
     */
    public static Failure of(FailureCode code, String message) {
        return new Failure(code, message);
    }
}
