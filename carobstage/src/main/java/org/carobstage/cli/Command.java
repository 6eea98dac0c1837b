package org.carobstage.cli;

/** A command of the program; JCommander sets its annotated fields. */
@FunctionalInterface
interface Command {
    /**
     * Runs the command.
     *
     * @param console the streams to write to
     * @return the exit code
     */
    ExitCode run(Console console);
}
