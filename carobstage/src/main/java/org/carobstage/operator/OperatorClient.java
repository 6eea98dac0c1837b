package org.carobstage.operator;

import static java.util.Objects.requireNonNull;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.SingleAddressHttpClientBuilder;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.transport.api.ClientSslConfigBuilder;
import io.servicetalk.transport.api.HostAndPort;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.http.Json;
import org.carobstage.model.Address;

/** Client of the operator interface of one process. */
public final class OperatorClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;

    private final HttpClient client;
    private final String key;

    private OperatorClient(HttpClient client, String key) {
        this.client = client;
        this.key = key;
    }

    /**
     * Creates a client; it connects on the first request.
     *
     * @param address the operator address of the process
     * @param key the operator key
     * @param trustedCertificates the PEM file of trusted certificates; empty for plain TCP
     * @return the client
     */
    public static OperatorClient of(
            Address address, String key, Optional<Path> trustedCertificates) {
        requireNonNull(address, "address is null");
        requireNonNull(key, "key is null");
        SingleAddressHttpClientBuilder<HostAndPort, InetSocketAddress> builder =
                HttpClients.forResolvedAddress(HostAndPort.of(address.host(), address.port()));
        trustedCertificates.ifPresent(
                file -> builder.sslConfig(new ClientSslConfigBuilder(() -> open(file)).build()));
        return new OperatorClient(builder.build(), key);
    }

    /**
     * Sends a GET request and decodes the JSON response.
     *
     * @param <T> the type of the response
     * @param path the path
     * @param type the class of the response
     * @return the response
     * @throws CodedException if the process does not respond, rejects the key, or returns an HTTP
     *     status other than 200
     */
    public <T> T get(String path, Class<T> type) {
        Single<HttpResponse> response =
                client.request(client.get(path).setHeader("authorization", "Bearer " + key))
                        .timeout(TIMEOUT);
        try {
            return read(response.toFuture().get(), type);
        } catch (ExecutionException e) {
            throw CodedException.of(
                    ErrorCode.PLATFORM_UNAVAILABLE, "no response: " + e.getCause(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw CodedException.of(ErrorCode.PLATFORM_UNAVAILABLE, "interrupted", e);
        }
    }

    @Override
    public void close() {
        client.closeAsync().subscribe();
    }

    private static <T> T read(HttpResponse response, Class<T> type) {
        int status = response.status().code();
        if (status == ErrorCode.UNAUTHORIZED.httpStatus()) {
            throw CodedException.of(ErrorCode.UNAUTHORIZED, "the operator key is missing or wrong");
        }
        if (status != OK) {
            throw CodedException.of(
                    ErrorCode.PLATFORM_UNAVAILABLE, "unexpected HTTP status " + status);
        }
        return Json.read(response.payloadBody(), type);
    }

    private static InputStream open(Path file) {
        try {
            return Files.newInputStream(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
