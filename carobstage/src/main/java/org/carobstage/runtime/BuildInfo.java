package org.carobstage.runtime;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * What the running program was built from, so that two builds in a fleet can be told apart.
 *
 * @param version the version of the project
 * @param digest the first 12 digits of the digest of its sources (bin/source-digest), or {@code
 *     unknown}
 * @param commit the commit that was checked out, or {@code unknown}
 */
public record BuildInfo(String version, String digest, String commit) {
    private static final String UNKNOWN = "unknown";

    private static final BuildInfo CURRENT =
            Optional.ofNullable(BuildInfo.class.getPackage().getImplementationVersion())
                    .map(BuildInfo::parse)
                    .orElseGet(() -> new BuildInfo("development", UNKNOWN, UNKNOWN));

    /** Rejects null components. */
    public BuildInfo {
        requireNonNull(version, "version is null");
        requireNonNull(digest, "digest is null");
        requireNonNull(commit, "commit is null");
    }

    /**
     * Returns the build of this program, by the manifest of its JAR file.
     *
     * @return the build; its version is {@code development} if the classes are in no JAR file
     */
    public static BuildInfo current() {
        return CURRENT;
    }

    /**
     * Parses a version with build metadata.
     *
     * @param text the text, such as {@code 0.1.0+2f6c1d09a7be.68f58bcaa7a3}
     * @return the build; what the text lacks is {@code unknown}
     */
    static BuildInfo parse(String text) {
        String[] versionAndBuild = text.split("\\+", 2);
        String[] build =
                versionAndBuild.length < 2 ? new String[0] : versionAndBuild[1].split("\\.");
        return new BuildInfo(versionAndBuild[0], component(build, 0), component(build, 1));
    }

    /**
     * Returns the version of the JDK and the architecture that the program runs on.
     *
     * @return the platform, such as {@code 17.0.21+9-aarch64}
     */
    public static String platform() {
        return Runtime.version() + "-" + System.getProperty("os.arch");
    }

    /**
     * Describes the build and its platform for the log.
     *
     * @return the description
     */
    public String describe() {
        return "version="
                + version
                + " digest="
                + digest
                + " commit="
                + commit
                + " jdk="
                + platform();
    }

    /** Returns the version with the build metadata. */
    @Override
    public String toString() {
        return version + "+" + digest + "." + commit;
    }

    private static String component(String[] build, int index) {
        return index < build.length && !build[index].isEmpty() ? build[index] : UNKNOWN;
    }
}
