package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.carobstage.document.History;
import org.carobstage.document.LineDifference;
import org.carobstage.http.Json;
import org.carobstage.platform.Entry;

/** Shows the last versions of a text and what each changed. */
@Parameters(commandDescription = "Show the last versions and what each changed")
final class HistoryCommand implements Command {
    private final Stored kind;

    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--name", required = true, description = "Name of the service or group")
    private String name;

    @Parameter(names = "--json", description = "Write JSON")
    private boolean json;

    HistoryCommand(Stored kind) {
        this.kind = kind;
    }

    @Override
    public ExitCode run(Console console) {
        String key = kind.key(name);
        Entry entry = platform.with(store -> store.get(key));
        if (entry.version() == 0) {
            console.err().println("there is no " + key);
            return ExitCode.FAILED;
        }
        History replaced = platform.with(store -> store.history(key));
        if (json) {
            console.out().println(Json.text(replaced.with(entry.version(), entry.value())));
            return ExitCode.OK;
        }
        String newer = entry.value();
        console.out().println("version " + entry.version() + " in force");
        for (History.Version version : replaced.versions()) {
            LineDifference.of(version.text(), newer).forEach(console.out()::println);
            console.out().println("version " + version.version());
            newer = version.text();
        }
        return ExitCode.OK;
    }
}
