package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Address;
import org.carobstage.operator.OperatorClient;

/** The options that name the processes to ask and the key that opens their pages. */
final class OperatorOptions {
    private static final String KEY_VARIABLE = "CAROBSTAGE_OPERATOR_KEY";

    @Parameter(
            names = "--operators",
            required = true,
            description = "host:port of the operator pages, with commas between them")
    private String operators;

    @Parameter(
            names = "--key-file",
            description = "File with the operator's key; else in " + KEY_VARIABLE)
    private Path keyFile;

    @Parameter(names = "--tls-trust", description = "Certificates to trust, PEM; else plain TCP")
    private Path trust;

    /** Asks each process; who does not answer is reported and left out. */
    <T> Map<Address, T> queryAll(Console console, String path, Class<T> type) {
        List<Address> addresses =
                Arrays.stream(operators.split(","))
                        .map(CommandArguments::parseAddress)
                        .distinct()
                        .toList();
        Map<Address, T> answers = new LinkedHashMap<>();
        addresses.forEach(
                address -> {
                    try (OperatorClient client = client(address)) {
                        answers.put(address, client.get(path, type));
                    } catch (CodedException e) {
                        console.err().println(address + ": " + e.getMessage());
                    }
                });
        if (answers.isEmpty()) {
            throw CodedException.of(ErrorCode.PLATFORM_UNAVAILABLE, "no process answered");
        }
        return answers;
    }

    private OperatorClient client(Address address) {
        return OperatorClient.of(address, key(), Optional.ofNullable(trust));
    }

    private String key() {
        return Optional.ofNullable(keyFile)
                .map(file -> CommandArguments.readFile(file).trim())
                .or(() -> Optional.ofNullable(System.getenv(KEY_VARIABLE)))
                .orElse("");
    }
}
