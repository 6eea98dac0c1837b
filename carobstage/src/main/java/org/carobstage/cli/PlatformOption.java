package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import java.util.function.Function;
import org.carobstage.platform.HttpPlatform;
import org.carobstage.platform.Platform;

/** The option for the platform's address. */
final class PlatformOption {
    @Parameter(names = "--platform", required = true, description = "host:port of the platform")
    private String address;

    <T> T withStore(Function<ConfigurationStore, T> operation) {
        try (Platform platform =
                HttpPlatform.of(
                        CommandArguments.parseAddress(address), HttpPlatform.COMMAND_TIMEOUT)) {
            return operation.apply(ConfigurationStore.of(platform));
        }
    }
}
