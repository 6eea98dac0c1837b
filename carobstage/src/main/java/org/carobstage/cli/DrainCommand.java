package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Starts or ends the drain of an instance; a draining instance is sent no new work. */
@Parameters(commandDescription = "Stop sending new work to an instance; resume with --end")
final class DrainCommand implements Command {
    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--group", required = true, description = "Group of the instance")
    private String group;

    @Parameter(names = "--instance", required = true, description = "Name of the instance")
    private String instance;

    @Parameter(names = "--end", description = "End the drain")
    private boolean end;

    @Override
    public ExitCode run(Console console) {
        InstanceOperation operation = InstanceOperation.drain(group, instance, end);
        return platform.withStore(store -> operation.submit(store, console));
    }
}
