package org.carobstage.document;

import java.util.ArrayList;
import java.util.List;

/** Computes the lines that differ between two texts, regardless of their order. */
public final class LineDiff {
    private LineDiff() {}

    /**
     * Compares two texts.
     *
     * @param before the old text
     * @param after the new text
     * @return the lines that only the old text contains, prefixed with {@code "- "}, then the lines
     *     that only the new text contains, prefixed with {@code "+ "}
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
