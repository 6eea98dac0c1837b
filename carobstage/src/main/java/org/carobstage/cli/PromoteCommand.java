package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Orders a planned switch of the primary. */
@Parameters(commandDescription = "Switch the primary of a group to an instance")
final class PromoteCommand implements Command {
    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--group", required = true, description = "Group")
    private String group;

    @Parameter(names = "--instance", required = true, description = "Instance to promote")
    private String instance;

    @Override
    public ExitCode run(Console console) {
        InstanceOperation order = InstanceOperation.promote(group, instance);
        return platform.withStore(store -> order.submit(store, console));
    }
}
