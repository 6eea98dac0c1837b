package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.carobstage.http.Json;
import org.carobstage.platform.Entry;

/** Shows the current version of a document or group. */
@Parameters(commandDescription = "Show the current version")
final class GetCommand implements Command {
    private final ConfigurationType type;

    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--name", required = true, description = "Name of the service or group")
    private String name;

    @Parameter(names = "--json", description = "Write JSON")
    private boolean json;

    GetCommand(ConfigurationType type) {
        this.type = type;
    }

    @Override
    public ExitCode run(Console console) {
        Entry entry = platform.withStore(store -> store.get(type.key(name)));
        if (entry.version() == 0) {
            console.err().println("not found: " + entry.key());
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
