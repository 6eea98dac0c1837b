package org.carobstage.node;

import java.util.Optional;

/** The version of the program. */
public final class Version {
    private Version() {}

    /**
     * Returns the version.
     *
     * @return the implementation version in the manifest of the JAR file, or {@code development}
     */
    public static String current() {
        return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
