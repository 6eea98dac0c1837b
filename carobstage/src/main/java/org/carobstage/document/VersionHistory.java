package org.carobstage.document;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.stream.Stream;

/**
 * The most recent versions of a text that have been replaced.
 *
 * @param versions the versions, newest first
 */
public record VersionHistory(List<Version> versions) {
    /** The maximum number of versions in a history. */
    public static final int MAX_VERSIONS = 10;

    /** The maximum total length of all versions; the platform stores values of up to 1 MB. */
    public static final int MAX_CHARACTERS = 250_000;

    private static final VersionHistory EMPTY = new VersionHistory(List.of());

    /** Copies the list. */
    public VersionHistory {
        versions = List.copyOf(versions);
    }

    /**
     * Returns a history without versions.
     *
     * @return the empty history
     */
    public static VersionHistory empty() {
        return EMPTY;
    }

    /**
     * Returns a history with a version added and the oldest versions that exceed the limits
     * removed.
     *
     * @param version the number of the version
     * @param text the text of the version
     * @return the new history, or this history if it already contains the version
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
     * @param version the number of the version
     * @param text the text of the version
     */
    public record Version(long version, String text) {
        /** Rejects a null text. */
        public Version {
            requireNonNull(text, "text is null");
        }
    }
}
