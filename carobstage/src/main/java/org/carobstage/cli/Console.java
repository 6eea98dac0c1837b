package org.carobstage.cli;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;

/**
 * The streams that a command writes to.
 *
 * @param out the stream for results
 * @param err the stream for error messages
 */
record Console(PrintStream out, PrintStream err) {
    Console {
        requireNonNull(out, "out is null");
        requireNonNull(err, "err is null");
    }
}
