package org.carobstage.document;

import java.util.ArrayList;
import java.util.List;

/** The lines in which two texts differ. */
public final class LineDiff {
    private LineDiff() {}

    /**
     * Compares two texts.
     *
     * @param before the one
     * @param after the other
     * @return the lines only in the one after {@code "- "}, those only in the other after {@code "+
     *     "}
     */
    public static List<String> of(String before, String after) {
        List<String> removed = new ArrayList<>(before.lines().toList());
        List<String> added = new ArrayList<>(after.lines().toList());
        before.lines().filter(added::remove).forEach(removed::remove);
        List<String> lines = new ArrayList<>();
        removed.forEach(line -> lines.add("- " + line));
        added.forEach(line -> lines.add("+ " + line));
        return lines;
    }
}
