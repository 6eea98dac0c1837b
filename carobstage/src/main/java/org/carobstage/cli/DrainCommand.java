package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Orders that an instance gets no new work, or that it gets work again. */
@Parameters(commandDescription = "Give an instance no new work, or with --end work again")
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
        InstanceOperation order = InstanceOperation.drain(group, instance, end);
        return platform.withStore(store -> order.submit(store, console));
    }
}
