package org.carobstage.sql;

import static java.util.Objects.requireNonNull;

/**
 * Why a statement failed.
 *
 * @param code the kind of failure
 * @param text more about it, for people
 */
public record Failure(FailureCode code, String message) {
    /** Checks the failure. */
    public Failure {
        requireNonNull(code, "code is null");
        requireNonNull(message, "text is null");
    }

    /**
     * Creates a failure.
     *
     * @param code the kind of failure
     * @param text more about it, for people
     * @return the failure
     */
    public static Failure of(FailureCode code, String text) {
        return new Failure(code, text);
    }
}
