package org.carobstage.cli;

import com.beust.jcommander.Parameter;

/** The help option, which the program and all of its commands have. */
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
