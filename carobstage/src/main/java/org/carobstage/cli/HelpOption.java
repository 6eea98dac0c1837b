package org.carobstage.cli;

import com.beust.jcommander.Parameter;

/** The option that every level of the command line has. */
final class HelpOption {
    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Show this help")
    private boolean isRequested;

    boolean isRequested() {
        return isRequested;
    }
}
