package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.carobstage.document.LineDiff;
import org.carobstage.document.VersionHistory;
import org.carobstage.http.Json;
import org.carobstage.platform.Entry;

/** Shows the last versions of a text and what each changed. */
@Parameters(commandDescription = "Show the last versions and what each changed")
final class HistoryCommand implements Command {
    private final ConfigurationType kind;

    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--name", required = true, description = "Name of the service or group")
    private String name;

    @Parameter(names = "--json", description = "Write JSON")
    private boolean json;

    HistoryCommand(ConfigurationType kind) {
        this.kind = kind;
    }

    @Override
    public ExitCode run(Console console) {
        String key = kind.key(name);
        Entry entry = platform.withStore(store -> store.get(key));
        if (entry.version() == 0) {
            console.err().println("there is no " + key);
            return ExitCode.FAILED;
        }
        VersionHistory replaced = platform.withStore(store -> store.history(key));
        if (json) {
            console.out()
                    .println(
                            Json.writeString(replaced.withVersion(entry.version(), entry.value())));
            return ExitCode.OK;
        }
        String newer = entry.value();
        console.out().println("version " + entry.version() + " in force");
        for (VersionHistory.Version version : replaced.versions()) {
            LineDiff.of(version.text(), newer).forEach(console.out()::println);
            console.out().println("version " + version.version());
            newer = version.text();
        }
        return ExitCode.OK;
    }
}
