package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.Collection;
import org.carobstage.http.Json;
import org.carobstage.operator.StatusMessage;
import org.carobstage.operator.StatusMessage.GroupStatus;

/** Shows the status of entry VM processes. */
@Parameters(commandDescription = "Show the status of entry VM processes")
final class StatusCommand implements Command {
    @ParametersDelegate private final OperatorOptions operatorOptions = new OperatorOptions();

    @Parameter(names = "--json", description = "Write JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) {
        Collection<StatusMessage> statuses =
                operatorOptions.queryAll(console, "/v1/status", StatusMessage.class).values();
        if (json) {
            console.out().println(Json.writeString(statuses));
        } else {
            statuses.forEach(status -> print(console, status));
        }
        return ExitCode.OK;
    }

    private static void print(Console console, StatusMessage status) {
        console.out()
                .printf(
                        "%s in %s, version %s, %s%n",
                        status.vm(),
                        status.domain(),
                        status.version(),
                        status.ready() ? "ready" : "not ready");
        status.groups().forEach(group -> print(console, group));
        status.members().forEach(m -> console.out().printf("  member %s %s%n", m.vm(), m.state()));
    }

    private static void print(Console console, GroupStatus group) {
        String primary = group.primary().isEmpty() ? "unknown" : group.primary();
        console.out().printf("  %s: term %d, primary %s%n", group.group(), group.term(), primary);
        group.instances()
                .forEach(
                        i ->
                                console.out()
                                        .printf(
                                                "    %s: term %d, offset %d, lag %d ms, share %d"
                                                        + " slots %d connections, load %d%n",
                                                i.instance(),
                                                i.promised(),
                                                i.offset(),
                                                i.lagMillis(),
                                                i.slots(),
                                                i.connections(),
                                                i.load()));
    }
}
