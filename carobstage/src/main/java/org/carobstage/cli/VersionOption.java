package org.carobstage.cli;

import com.beust.jcommander.Parameter;

/** The version option of the program. */
final class VersionOption {
    @Parameter(names = "--version", help = true, description = "Show the version of the program")
    private boolean isRequested;

    boolean isRequested() {
        return isRequested;
    }
}
