package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;
import org.carobstage.config.ConfigurationWatch;
import org.carobstage.config.GroupReader;
import org.carobstage.http.Json;
import org.carobstage.model.GroupSpec;

/** Lists the configured database groups. */
@Parameters(commandDescription = "List the database groups")
final class ListCommand implements Command {
    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--json", description = "Write JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) {
        List<GroupSpec> groups =
                platform.withStore(
                        store ->
                                store.list(ConfigurationWatch.GROUPS).entries().stream()
                                        .map(entry -> GroupReader.read(entry.value()))
                                        .toList());
        if (json) {
            console.out().println(Json.writeString(groups));
        } else {
            groups.forEach(group -> print(console, group));
        }
        return ExitCode.OK;
    }

    private static void print(Console console, GroupSpec group) {
        console.out()
                .printf(
                        "%s: %d slots, %d connections per instance%n",
                        group.id(), group.slots(), group.connections());
        group.instances()
                .forEach(
                        i ->
                                console.out()
                                        .printf(
                                                "  %s at %s in %s%n",
                                                i.id(), i.address(), i.domain()));
    }
}
