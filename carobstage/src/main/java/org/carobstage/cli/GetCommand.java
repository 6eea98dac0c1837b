package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.carobstage.http.Json;
import org.carobstage.platform.Entry;

/** Shows the version of a text that is in force. */
@Parameters(commandDescription = "Show the version in force")
final class GetCommand implements Command {
    private final ConfigurationType kind;

    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--name", required = true, description = "Name of the service or group")
    private String name;

    @Parameter(names = "--json", description = "Write JSON")
    private boolean json;

    GetCommand(ConfigurationType kind) {
        this.kind = kind;
    }

    @Override
    public ExitCode run(Console console) {
        Entry entry = platform.withStore(store -> store.get(kind.key(name)));
        if (entry.version() == 0) {
            console.err().println("there is no " + entry.key());
            return ExitCode.FAILED;
        }
        if (json) {
            console.out().println(Json.writeString(entry));
        } else {
            console.out().println("; " + entry.key() + " version " + entry.version());
            console.out().print(entry.value());
        }
        return ExitCode.OK;
    }
}
