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

/** The options for the operator addresses to query and the key that authorizes the requests. */
final class OperatorOptions {
    private static final String KEY_VARIABLE = "CAROBSTAGE_OPERATOR_KEY";

    @Parameter(
            names = "--operators",
            required = true,
            description = "Operator addresses of the processes as host:port, comma-separated")
    private String operatorAddresses;

    @Parameter(
            names = "--key-file",
            description = "File with the operator key; default: the value of " + KEY_VARIABLE)
    private Path keyFile;

    @Parameter(
            names = "--tls-trust",
            description = "PEM file of trusted certificates; without it, plain TCP")
    private Path trustedCertificates;

    /**
     * Queries each process; reports a process that fails to respond and omits it from the result.
     */
    <T> Map<Address, T> queryAll(Console console, String path, Class<T> type) {
        List<Address> addresses =
                Arrays.stream(operatorAddresses.split(","))
                        .map(CommandArguments::parseAddress)
                        .distinct()
                        .toList();
        Map<Address, T> responses = new LinkedHashMap<>();
        addresses.forEach(
                address -> {
                    try (OperatorClient client = client(address)) {
                        responses.put(address, client.get(path, type));
                    } catch (CodedException e) {
                        console.err().println(address + ": " + e.getMessage());
                    }
                });
        if (responses.isEmpty()) {
            throw CodedException.of(ErrorCode.PLATFORM_UNAVAILABLE, "no process responded");
        }
        return responses;
    }

    private OperatorClient client(Address address) {
        return OperatorClient.of(address, key(), Optional.ofNullable(trustedCertificates));
    }

    private String key() {
        return Optional.ofNullable(keyFile)
                .map(file -> CommandArguments.readFile(file).trim())
                .or(() -> Optional.ofNullable(System.getenv(KEY_VARIABLE)))
                .orElse("");
    }
}
