package org.carobstage.cli;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out what was asked for
 * @param err what went wrong
 */
record Console(PrintStream out, PrintStream err) {
    Console {
        requireNonNull(out, "out is null");
        requireNonNull(err, "err is null");
    }
}
