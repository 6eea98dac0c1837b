package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import org.carobstage.document.LineDifference;
import org.carobstage.platform.CasResult;

/** Checks a text and stores it in the platform's key-value service. */
@Parameters(commandDescription = "Check a file and put it in force")
final class PutCommand implements Command {
    private final Stored kind;

    @ParametersDelegate private final PlatformOption platform = new PlatformOption();

    @Parameter(names = "--file", required = true, description = "INI file to store")
    private Path file;

    @Parameter(
            names = "--replace",
            description = "Version that the file replaces, as get shows it; 0 if there is none")
    private long replace = 0;

    PutCommand(Stored kind) {
        this.kind = kind;
    }

    @Override
    public ExitCode run(Console console) {
        String text = Texts.read(file);
        String key = kind.checkedKey(file.toString(), text);
        return report(console, text, platform.with(store -> store.put(key, replace, text)));
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
            LineDifference.of(conflict.current().value(), text).forEach(console.err()::println);
            return ExitCode.CONFLICT;
        }
        console.err().println("not known: " + ((CasResult.Unanswered) result).detail());
        return ExitCode.UNAVAILABLE;
    }
}
