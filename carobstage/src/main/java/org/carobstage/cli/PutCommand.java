package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import org.carobstage.document.LineDiff;
import org.carobstage.platform.CasResult;

/** Validates a document or group and stores it in the platform's key-value service. */
@Parameters(commandDescription = "Validate a file and store it as the current version")
final class PutCommand implements Command {
    private final ConfigurationType type;

    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--file", required = true, description = "INI file to store")
    private Path file;

    @Parameter(
            names = "--replace",
            description = "Version that the file replaces, as shown by get; 0 if there is none")
    private long expectedVersion = 0;

    PutCommand(ConfigurationType type) {
        this.type = type;
    }

    @Override
    public ExitCode run(Console console) {
        String text = CommandArguments.readFile(file);
        String key = type.validatedKey(file.toString(), text);
        return report(
                console, text, platform.withStore(store -> store.put(key, expectedVersion, text)));
    }

    private ExitCode report(Console console, String text, CasResult result) {
        if (result instanceof CasResult.Swapped swapped) {
            console.out().println(swapped.entry().key() + " version " + swapped.entry().version());
            return ExitCode.OK;
        }
        if (result instanceof CasResult.Conflict conflict) {
            long currentVersion = conflict.current().version();
            console.err()
                    .println(
                            "not stored: the current version is "
                                    + currentVersion
                                    + ", not "
                                    + expectedVersion);
            console.err().println("changes from version " + currentVersion + " to the file:");
            LineDiff.of(conflict.current().value(), text).forEach(console.err()::println);
            return ExitCode.CONFLICT;
        }
        console.err().println("outcome unknown: " + ((CasResult.Unanswered) result).detail());
        return ExitCode.UNAVAILABLE;
    }
}
