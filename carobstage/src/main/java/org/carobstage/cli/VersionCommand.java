package org.carobstage.cli;

import com.beust.jcommander.Parameters;
import org.carobstage.node.Version;

/** Shows the version of the program. */
@Parameters(commandDescription = "Show the version of the program")
final class VersionCommand implements Command {
    @Override
    public ExitCode run(Console console) {
        console.out().println("carobstage " + Version.current());
        return ExitCode.OK;
    }
}
