package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;
import org.carobstage.document.DocumentReader;
import org.carobstage.front.ProxyServerSettings;
import org.carobstage.http.Json;
import org.carobstage.settings.SettingsReader;
import org.carobstage.settings.ValidationError;

/** Checks settings and documents without starting or storing anything. */
@Parameters(commandDescription = "Check settings and documents; start and store nothing")
final class CheckCommand implements Command {
    @Parameter(names = "--settings", description = "INI files of processes")
    private List<Path> settings = List.of();

    @Parameter(names = "--front", description = "INI files of processes that serve sessions")
    private List<Path> fronts = List.of();

    @Parameter(names = "--document", description = "INI files of teams' documents")
    private List<Path> documents = List.of();

    @Parameter(names = "--json", description = "Write the faults as JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) {
        if (settings.isEmpty() && fronts.isEmpty() && documents.isEmpty()) {
            console.err().println("name a file with --settings, --front or --document");
            return ExitCode.USAGE;
        }
        List<ValidationError> faults =
                Stream.of(
                                faults(settings, CheckCommand::settings),
                                faults(fronts, CheckCommand::front),
                                faults(documents, CheckCommand::document))
                        .flatMap(Function.identity())
                        .toList();
        if (json) {
            console.out().println(Json.writeString(faults));
        } else {
            faults.forEach(console.err()::println);
            console.out().println(faults.isEmpty() ? "no fault" : faults.size() + " faults");
        }
        return faults.isEmpty() ? ExitCode.OK : ExitCode.USAGE;
    }

    private static Stream<ValidationError> faults(
            List<Path> files, Function<Path, List<ValidationError>> check) {
        return files.stream().map(check).flatMap(List::stream);
    }

    private static List<ValidationError> settings(Path file) {
        return SettingsReader.validate(file.toString(), CommandArguments.readFile(file)).errors();
    }

    private static List<ValidationError> front(Path file) {
        return ProxyServerSettings.validate(file.toString(), CommandArguments.readFile(file))
                .errors();
    }

    private static List<ValidationError> document(Path file) {
        return DocumentReader.validate(file.toString(), CommandArguments.readFile(file)).errors();
    }
}
