package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Requests a planned switchover of a group's primary. */
@Parameters(commandDescription = "Make an instance the primary of its group")
final class PromoteCommand implements Command {
    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--group", required = true, description = "Group")
    private String group;

    @Parameter(names = "--instance", required = true, description = "Instance to promote")
    private String instance;

    @Override
    public ExitCode run(Console console) {
        InstanceOperation operation = InstanceOperation.promote(group, instance);
        return platform.withStore(store -> operation.submit(store, console));
    }
}
