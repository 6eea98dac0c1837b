package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

/**
 * An error in an INI text and its location.
 *
 * @param source the file or other origin
 * @param line the line number, or 0 if there is no such line, as for a missing section
 * @param section the section, or empty
 * @param key the key, or empty
 * @param reason what is wrong
 */
public record ValidationError(String source, int line, String section, String key, String reason) {
    /** Rejects null components. */
    public ValidationError {
        requireNonNull(source, "source is null");
        requireNonNull(section, "section is null");
        requireNonNull(key, "key is null");
        requireNonNull(reason, "reason is null");
    }

    /** Returns the error as one line, {@code source:line: [section] key: reason}. */
    @Override
    public String toString() {
        String location = line > 0 ? source + ":" + line : source;
        String entry = (section.isEmpty() ? "" : " [" + section + "]") + withLeadingSpace(key);
        return location + ":" + (entry.isEmpty() ? "" : entry + ":") + " " + reason;
    }

    private static String withLeadingSpace(String text) {
        return text.isEmpty() ? "" : " " + text;
    }
}
