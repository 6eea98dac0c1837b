package org.carobstage.cli;

import org.carobstage.error.ErrorCode;

/** The exit codes of the program; docs/OPERATIONS.md lists them. */
public enum ExitCode {
    /** All went well. */
    OK(0),
    /** The operation failed. */
    FAILED(1),
    /** The command line, the settings or a document are wrong; nothing was started or changed. */
    USAGE(2),
    /** Somebody else changed the same thing first; nothing was changed. */
    CONFLICT(3),
    /** The platform or a process did not answer. */
    UNAVAILABLE(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the exit code that goes with an error.
     *
     * @param code the error's code
     * @return the exit code
     */
    public static ExitCode of(ErrorCode code) {
        return switch (code) {
            case BAD_SETTINGS, BAD_DOCUMENT -> USAGE;
            case CONFLICT -> CONFLICT;
            case PLATFORM_UNAVAILABLE -> UNAVAILABLE;
            default -> FAILED;
        };
    }

    /**
     * Returns the number that the process ends with.
     *
     * @return the number
     */
    public int number() {
        return number;
    }
}
