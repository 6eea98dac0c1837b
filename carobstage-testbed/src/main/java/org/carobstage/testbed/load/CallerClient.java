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

/** Talks to one entry VM as callers do. */
public final class CallerClient implements AutoCloseable {
    private static final int OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private final HttpClient client;

    private CallerClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Creates a client; it connects on first use.
     *
     * @param address where the entry VM listens to callers
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
     * @param call the statement
     * @return the reply; the stage never fails
     */
    public CompletionStage<CallerResponse> send(CallerRequest call) {
        HttpRequest request = client.post("/v1/statements");
        request.setHeader(CallerServer.SERVICE_HEADER, call.service());
        request.setHeader(CallerServer.CLASS_HEADER, call.requestClass());
        call.sessionToken()
                .ifPresent(token -> request.setHeader(CallerServer.SESSION_HEADER, token));
        call.idempotencyKey()
                .ifPresent(key -> request.setHeader(CallerServer.IDEMPOTENCY_KEY_HEADER, key));
        byte[] json =
                Json.writeBytes(new StatementMessage(call.group(), call.sql(), call.parameters()));
        request.payloadBody(client.executionContext().bufferAllocator().wrap(json));
        return client.request(request)
                .timeout(TIMEOUT)
                .map(CallerClient::read)
                .onErrorReturn(e -> CallerResponse.error(Outcome.UNKNOWN, e.toString()))
                .toCompletionStage();
    }

    @Override
    public void close() {
        client.closeAsync().subscribe();
    }

    private static CallerResponse read(HttpResponse response) {
        if (response.status().code() == OK) {
            StatementResultMessage done =
                    Json.read(response.payloadBody(), StatementResultMessage.class);
            Optional<String> token =
                    Optional.ofNullable(response.headers().get(CallerServer.SESSION_HEADER))
                            .map(CharSequence::toString);
            return new CallerResponse(Outcome.DONE, "", Optional.of(done), token);
        }
        Problem problem = Json.read(response.payloadBody(), Problem.class);
        Outcome outcome = "not-run".equals(problem.outcome()) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        return CallerResponse.error(outcome, problem.code() + " " + problem.detail());
    }
}
