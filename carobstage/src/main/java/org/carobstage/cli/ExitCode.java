package org.carobstage.cli;

/** The exit codes of the program. */
public enum ExitCode {
    /** All went well. */
    OK(0),
    /** The operation failed. */
    FAILED(1),
    /** The command line, the settings or a document are wrong; nothing was started or changed. */
    USAGE(2);

    private final int number;

    ExitCode(int number) {
        this.number = number;
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
