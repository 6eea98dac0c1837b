package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.carobstage.document.LineDiff;
import org.carobstage.document.VersionHistory;
import org.carobstage.http.Json;
import org.carobstage.platform.Entry;

/** Shows the most recent versions of a document or group and the lines that each changed. */
@Parameters(commandDescription = "Show the most recent versions and the lines that each changed")
final class HistoryCommand implements Command {
    private final ConfigurationType type;

    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--name", required = true, description = "Name of the service or group")
    private String name;

    @Parameter(names = "--json", description = "Write JSON")
    private boolean json;

    HistoryCommand(ConfigurationType type) {
        this.type = type;
    }

    @Override
    public ExitCode run(Console console) {
        String key = type.key(name);
        Entry entry = platform.withStore(store -> store.get(key));
        if (entry.version() == 0) {
            console.err().println("not found: " + key);
            return ExitCode.FAILED;
        }
        VersionHistory history = platform.withStore(store -> store.history(key));
        if (json) {
            console.out()
                    .println(Json.writeString(history.withVersion(entry.version(), entry.value())));
            return ExitCode.OK;
        }
        String newerText = entry.value();
        console.out().println("version " + entry.version() + " (current)");
        for (VersionHistory.Version version : history.versions()) {
            LineDiff.of(version.text(), newerText).forEach(console.out()::println);
            console.out().println("version " + version.version());
            newerText = version.text();
        }
        return ExitCode.OK;
    }
}
