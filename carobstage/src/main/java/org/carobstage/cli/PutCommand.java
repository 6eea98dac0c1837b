package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import org.carobstage.document.LineDiff;
import org.carobstage.platform.CasResult;

/** Checks a text and stores it in the platform's key-value service. */
@Parameters(commandDescription = "Check a file and put it in force")
final class PutCommand implements Command {
    private final ConfigurationType kind;

    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--file", required = true, description = "INI file to store")
    private Path file;

    @Parameter(
            names = "--replace",
            description = "Version that the file replaces, as get shows it; 0 if there is none")
    private long replace = 0;

    PutCommand(ConfigurationType kind) {
        this.kind = kind;
    }

    @Override
    public ExitCode run(Console console) {
        String text = CommandArguments.readFile(file);
        String key = kind.validatedKey(file.toString(), text);
        return report(console, text, platform.withStore(store -> store.put(key, replace, text)));
    }

    private ExitCode report(Console console, String text, CasResult result) {
        if (result instanceof CasResult.Swapped swapped) {
            console.out().println(swapped.entry().key() + " version " + swapped.entry().version());
            return ExitCode.OK;
        }
        if (result instanceof CasResult.Conflict conflict) {
            long stands = conflict.current().version();
            console.err().println("not stored: version " + stands + " stands, not " + replace);
            console.err().println("from version " + stands + " to the file:");
            LineDiff.of(conflict.current().value(), text).forEach(console.err()::println);
            return ExitCode.CONFLICT;
        }
        console.err().println("not known: " + ((CasResult.Unanswered) result).detail());
        return ExitCode.UNAVAILABLE;
    }
}
