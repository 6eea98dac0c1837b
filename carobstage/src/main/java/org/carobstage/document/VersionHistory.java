package org.carobstage.document;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.stream.Stream;

/**
 * The last versions of a text that were replaced, the newest first.
 *
 * @param versions the versions
 */
public record VersionHistory(List<Version> versions) {
    /** How many versions are kept. */
    public static final int MAX_VERSIONS = 10;

    /** How many characters are kept; the platform holds values up to a megabyte. */
    public static final int MAX_CHARACTERS = 250_000;

    private static final VersionHistory EMPTY = new VersionHistory(List.of());

    /** Checks the history. */
    public VersionHistory {
        versions = List.copyOf(versions);
    }

    /**
     * Returns a history without versions.
     *
     * @return the history
     */
    public static VersionHistory empty() {
        return EMPTY;
    }

    /**
     * Adds a version, and drops the oldest ones that no longer fit.
     *
     * @param version its number
     * @param text its text
     * @return the new history; the same if the version is there already
     */
    public VersionHistory withVersion(long version, String text) {
        if (versions.stream().anyMatch(v -> v.version() == version)) {
            return this;
        }
        List<Version> all =
                Stream.concat(Stream.of(new Version(version, text)), versions.stream()).toList();
        int count = 0;
        int characters = 0;
        while (count < Math.min(all.size(), MAX_VERSIONS)
                && characters + all.get(count).text().length() <= MAX_CHARACTERS) {
            characters += all.get(count).text().length();
            count++;
        }
        return new VersionHistory(all.subList(0, count));
    }

    /**
     * A version of a text.
     *
     * @param version its number
     * @param text its text
     */
    public record Version(long version, String text) {
        /** Checks the version. */
        public Version {
            requireNonNull(text, "text is null");
        }
    }
}
