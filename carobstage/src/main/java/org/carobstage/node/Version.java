package org.carobstage.node;

import java.util.Optional;

/** The version of the program. */
public final class Version {
    private Version() {}

    /**
     * Returns the version.
     *
     * @return the version from the program's file, or {@code development}
     */
    public static String current() {
        return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
