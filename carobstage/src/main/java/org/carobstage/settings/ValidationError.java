package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

/**
 * What is wrong at one place of an INI file.
 *
 * @param source the file or other origin
 * @param line the line, 0 if the fault is something missing
 * @param section the section, or empty
 * @param key the key, or empty
 * @param reason what is wrong
 */
public record ValidationError(String source, int line, String section, String key, String reason) {
    /** Checks the fault. */
    public ValidationError {
        requireNonNull(source, "source is null");
        requireNonNull(section, "section is null");
        requireNonNull(key, "key is null");
        requireNonNull(reason, "reason is null");
    }

    /** Returns the fault as one line for people. */
    @Override
    public String toString() {
        String place = line > 0 ? source + ":" + line : source;
        String where = (section.isEmpty() ? "" : " [" + section + "]") + before(key);
        return place + ":" + (where.isEmpty() ? "" : where + ":") + " " + reason;
    }

    private static String before(String text) {
        return text.isEmpty() ? "" : " " + text;
    }
}
