package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Function;
import org.carobstage.config.ConfigurationWatch;
import org.carobstage.config.GroupReader;
import org.carobstage.document.DocumentReader;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Address;
import org.carobstage.platform.CasResult;
import org.carobstage.platform.Entry;
import org.carobstage.platform.HttpPlatform;
import org.carobstage.platform.Platform;

/** Checks a document or group and stores it in the platform's key-value service. */
@Parameters(commandDescription = "Check a document or group and put it in force")
final class PutCommand implements Command {
    private final Function<String, String> keyOf;

    @Parameter(names = "--platform", required = true, description = "host:port of the platform")
    private String platform;

    @Parameter(names = "--file", required = true, description = "INI file to store")
    private Path file;

    private PutCommand(Function<String, String> keyOf) {
        this.keyOf = keyOf;
    }

    static PutCommand document() {
        return new PutCommand(
                text -> ConfigurationWatch.DOCUMENTS + DocumentReader.read(text).service());
    }

    static PutCommand group() {
        return new PutCommand(text -> ConfigurationWatch.GROUPS + GroupReader.read(text).id());
    }

    @Override
    public ExitCode run() {
        String text = readFile();
        String key = keyOf.apply(text);
        try (Platform store = HttpPlatform.of(Address.parse(platform))) {
            Optional<Entry> current = store.get(key).toCompletableFuture().join();
            long version =
                    current.orElseThrow(
                                    () ->
                                            CodedException.of(
                                                    ErrorCode.PLATFORM_UNAVAILABLE, "no answer"))
                            .version();
            return report(store.compareAndSwap(key, version, text).toCompletableFuture().join());
        }
    }

    private String readFile() {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw CodedException.of(ErrorCode.BAD_SETTINGS, "can't read " + file, e);
        }
    }

    private static ExitCode report(CasResult result) {
        if (result instanceof CasResult.Swapped swapped) {
            System.out.println(swapped.entry().key() + " version " + swapped.entry().version());
            return ExitCode.OK;
        }
        System.err.println("not stored: " + result);
        return ExitCode.FAILED;
    }
}
