package org.carobstage.review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Appends lines with the time since the start of the script to the record of a case. */
final class Record {
    private static final long START_MILLIS = Long.parseLong(System.getenv("REVIEW_START"));

    private final Path file;

    Record(String file) {
        this.file = Path.of(file);
    }

    synchronized void add(String line) {
        long millis = System.currentTimeMillis() - START_MILLIS;
        String escaped = line.replace("\r", "\\r").replace("\n", "\\n");
        String text = String.format("%6d ms  %s%n", millis, escaped);
        try {
            Files.writeString(
                    file,
                    text,
                    StandardCharsets.ISO_8859_1,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new IllegalStateException("record can't be written", e);
        }
    }
}
