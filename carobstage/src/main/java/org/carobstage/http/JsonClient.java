package org.carobstage.http;

import static io.servicetalk.concurrent.api.Single.failed;
import static io.servicetalk.http.api.HttpExecutionStrategies.offloadNone;
import static java.util.Objects.requireNonNull;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequester;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.HostAndPort;
import java.io.IOException;
import java.time.Duration;
import org.carobstage.model.Address;

/** An HTTP client for one address that exchanges JSON messages and never retries a request. */
public final class JsonClient implements AutoCloseable {
    private static final int OK = 200;

    private final HttpClient client;

    private JsonClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Creates a client.
     *
     * @param address the server's address
     * @return the client
     */
    public static JsonClient of(Address address) {
        requireNonNull(address, "address is null");
        HostAndPort server = HostAndPort.of(address.host(), address.port());
        return new JsonClient(
                HttpClients.forResolvedAddress(server)
                        .executionStrategy(offloadNone())
                        .appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
                        .build());
    }

    /**
     * Returns the underlying client.
     *
     * @return the client
     */
    public HttpClient httpClient() {
        return client;
    }

    /**
     * Posts a JSON message and reads the response.
     *
     * @param <T> the type of the response message
     * @param path the request path
     * @param body the message, serialized as the request body
     * @param type the class of the response message
     * @param timeout the longest wait for the response
     * @return the response message; fails if no response arrives in time or its status is not 200
     */
    public <T> Single<T> post(String path, Object body, Class<T> type, Duration timeout) {
        return exchange(client, path, body, type, timeout);
    }

    /**
     * Posts a JSON message over a given client or connection and reads the response.
     *
     * @param <T> the type of the response message
     * @param requester the client or connection
     * @param path the request path
     * @param body the message, serialized as the request body
     * @param type the class of the response message
     * @param timeout the longest wait for the response
     * @return the response message; fails if no response arrives in time or its status is not 200
     */
    public static <T> Single<T> exchange(
            HttpRequester requester, String path, Object body, Class<T> type, Duration timeout) {
        HttpRequest request = requester.post(path);
        byte[] json = Json.writeBytes(body);
        request.payloadBody(requester.executionContext().bufferAllocator().wrap(json));
        return requester
                .request(request)
                .timeout(timeout)
                .flatMap(response -> read(response, type));
    }

    /** Closes all connections. */
    @Override
    public void close() {
        client.closeAsync().subscribe();
    }

    private static <T> Single<T> read(HttpResponse response, Class<T> type) {
        if (response.status().code() != OK) {
            return failed(new IOException("unexpected HTTP status " + response.status()));
        }
        return Single.succeeded(Json.read(response.payloadBody(), type));
    }
}
