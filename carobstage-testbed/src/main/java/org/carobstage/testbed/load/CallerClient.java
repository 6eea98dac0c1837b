package org.carobstage.testbed.load;

import static io.servicetalk.http.api.HttpExecutionStrategies.offloadNone;
import static java.util.Objects.requireNonNull;

import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.HostAndPort;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.carobstage.caller.CallerMessages.StatementMessage;
import org.carobstage.caller.CallerMessages.StatementResultMessage;
import org.carobstage.caller.CallerServer;
import org.carobstage.http.Json;
import org.carobstage.http.Problem;
import org.carobstage.model.Address;
import org.carobstage.testbed.history.Operation.Outcome;

/** An HTTP client for the caller interface of one entry VM. */
public final class CallerClient implements AutoCloseable {
    private static final int OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private final HttpClient client;

    private CallerClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Creates a client that connects on its first request.
     *
     * @param address the caller address of the entry VM
     * @return the client
     */
    public static CallerClient of(Address address) {
        requireNonNull(address, "address is null");
        HostAndPort server = HostAndPort.of(address.host(), address.port());
        return new CallerClient(
                HttpClients.forResolvedAddress(server)
                        .executionStrategy(offloadNone())
                        .appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
                        .build());
    }

    /**
     * Sends a statement.
     *
     * @param request the statement request
     * @return a stage that completes with the response and never fails; a time-out, transport error
     *     or unreadable response gives the outcome {@link Outcome#UNKNOWN}
     */
    public CompletionStage<CallerResponse> send(CallerRequest request) {
        HttpRequest httpRequest = client.post("/v1/statements");
        httpRequest.setHeader(CallerServer.SERVICE_HEADER, request.service());
        httpRequest.setHeader(CallerServer.CLASS_HEADER, request.requestClass());
        request.sessionToken()
                .ifPresent(token -> httpRequest.setHeader(CallerServer.SESSION_HEADER, token));
        request.idempotencyKey()
                .ifPresent(key -> httpRequest.setHeader(CallerServer.IDEMPOTENCY_KEY_HEADER, key));
        byte[] json =
                Json.writeBytes(
                        new StatementMessage(request.group(), request.sql(), request.parameters()));
        httpRequest.payloadBody(client.executionContext().bufferAllocator().wrap(json));
        return client.request(httpRequest)
                .timeout(TIMEOUT)
                .map(CallerClient::toResponse)
                .onErrorReturn(e -> CallerResponse.error(Outcome.UNKNOWN, e.toString()))
                .toCompletionStage();
    }

    @Override
    public void close() {
        client.closeAsync().subscribe();
    }

    private static CallerResponse toResponse(HttpResponse response) {
        if (response.status().code() == OK) {
            StatementResultMessage result =
                    Json.read(response.payloadBody(), StatementResultMessage.class);
            Optional<String> token =
                    Optional.ofNullable(response.headers().get(CallerServer.SESSION_HEADER))
                            .map(CharSequence::toString);
            return new CallerResponse(Outcome.DONE, "", Optional.of(result), token);
        }
        Problem problem = Json.read(response.payloadBody(), Problem.class);
        Outcome outcome = "not-run".equals(problem.outcome()) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        return CallerResponse.error(outcome, problem.code() + " " + problem.detail());
    }
}
