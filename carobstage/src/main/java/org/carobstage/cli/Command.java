package org.carobstage.cli;

/** One command of the command line; JCommander fills its fields. */
@FunctionalInterface
interface Command {
    /**
     * Runs the command.
     *
     * @param console where it writes
     * @return how it ended
     */
    ExitCode run(Console console);
}
