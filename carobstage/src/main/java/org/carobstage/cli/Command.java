package org.carobstage.cli;

/** One command of the command line; JCommander fills its fields. */
@FunctionalInterface
public interface Command {
    /**
     * Runs the command.
     *
     * @return how it ended
     */
    ExitCode run();
}
