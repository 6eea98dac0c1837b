package org.carobstage.cli;

import com.beust.jcommander.Parameters;
import org.carobstage.runtime.BuildInfo;

/** Shows the version of the program, what it was built from, and the JDK. */
@Parameters(commandDescription = "Show the version of the program")
final class VersionCommand implements Command {
    @Override
    public ExitCode run(Console console) {
        console.out().println("carobstage " + BuildInfo.current().describe());
        return ExitCode.OK;
    }
}
