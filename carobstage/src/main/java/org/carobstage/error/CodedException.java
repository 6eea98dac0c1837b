package org.carobstage.error;

import static java.util.Objects.requireNonNull;

/** An unchecked exception that carries an {@link ErrorCode}. */
public final class CodedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    private CodedException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = requireNonNull(code, "code is null");
    }

    /**
     * Creates an exception.
     *
     * @param code the code
     * @param message the error message, which the response contains
     * @return the exception
     */
    public static CodedException of(ErrorCode code, String message) {
        return new CodedException(code, message, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the code
     * @param message the error message, which the response contains
     * @param cause the cause
     * @return the exception
     */
    public static CodedException of(ErrorCode code, String message, Throwable cause) {
        return new CodedException(code, message, cause);
    }

    /**
     * Returns the code.
     *
     * @return the code
     */
    public ErrorCode code() {
        return code;
    }
}
