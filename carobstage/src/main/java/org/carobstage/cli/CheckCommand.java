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

/** Validates settings and documents without starting or storing anything. */
@Parameters(commandDescription = "Validate settings and documents; start and store nothing")
final class CheckCommand implements Command {
    @Parameter(names = "--settings", description = "INI files of processes")
    private List<Path> settingsFiles = List.of();

    @Parameter(names = "--front", description = "INI files of processes that serve sessions")
    private List<Path> frontFiles = List.of();

    @Parameter(names = "--document", description = "INI files of team documents")
    private List<Path> documentFiles = List.of();

    @Parameter(names = "--json", description = "Write the errors as JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) {
        if (settingsFiles.isEmpty() && frontFiles.isEmpty() && documentFiles.isEmpty()) {
            console.err().println("at least one of --settings, --front and --document is required");
            return ExitCode.USAGE;
        }
        List<ValidationError> errors =
                Stream.of(
                                validateAll(settingsFiles, CheckCommand::validateSettings),
                                validateAll(frontFiles, CheckCommand::validateFrontSettings),
                                validateAll(documentFiles, CheckCommand::validateDocument))
                        .flatMap(Function.identity())
                        .toList();
        if (json) {
            console.out().println(Json.writeString(errors));
        } else {
            errors.forEach(console.err()::println);
            console.out().println(errors.isEmpty() ? "no errors" : errors.size() + " errors");
        }
        return errors.isEmpty() ? ExitCode.OK : ExitCode.USAGE;
    }

    private static Stream<ValidationError> validateAll(
            List<Path> files, Function<Path, List<ValidationError>> validator) {
        return files.stream().map(validator).flatMap(List::stream);
    }

    private static List<ValidationError> validateSettings(Path file) {
        return SettingsReader.validate(file.toString(), CommandArguments.readFile(file)).errors();
    }

    private static List<ValidationError> validateFrontSettings(Path file) {
        return ProxyServerSettings.validate(file.toString(), CommandArguments.readFile(file))
                .errors();
    }

    private static List<ValidationError> validateDocument(Path file) {
        return DocumentReader.validate(file.toString(), CommandArguments.readFile(file)).errors();
    }
}
