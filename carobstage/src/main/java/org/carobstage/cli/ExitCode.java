package org.carobstage.cli;

import org.carobstage.error.ErrorCode;

/** The exit codes of the program; docs/OPERATIONS.md lists them. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command failed. */
    FAILED(1),
    /** The command line, the settings or a document are invalid; nothing was started or changed. */
    USAGE(2),
    /** A concurrent change took effect first; nothing was changed. */
    CONFLICT(3),
    /** The platform or a process did not respond. */
    UNAVAILABLE(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the exit code for an error code.
     *
     * @param code the error code
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
     * Returns the exit status of the process.
     *
     * @return the exit status
     */
    public int number() {
        return number;
    }
}
