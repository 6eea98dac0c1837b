package org.carobstage.review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the time in seconds. */
final class Report {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Report(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void add(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
        out.flush();
    }

    synchronized void say(String text) {
        add(text);
        System.out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
    }
}
