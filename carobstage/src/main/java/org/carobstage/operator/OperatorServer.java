package org.carobstage.operator;

import static java.util.Objects.requireNonNull;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import java.nio.charset.StandardCharsets;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.http.Json;
import org.carobstage.http.JsonServer;
import org.carobstage.http.ProblemResponses;
import org.carobstage.http.ServerOptions;
import org.carobstage.model.Address;
import org.carobstage.settings.OperatorSettings;
import org.carobstage.timeline.Timeline;

/** Serves liveness, readiness and metrics to all clients; status and timeline require the key. */
public final class OperatorServer implements AutoCloseable {
    private static final String BEARER_PREFIX = "Bearer ";

    private final OperatorSettings settings;
    private final OperatorEndpointData endpointData;
    private JsonServer server;

    private OperatorServer(OperatorSettings settings, OperatorEndpointData endpointData) {
        this.settings = settings;
        this.endpointData = endpointData;
    }

    /**
     * Starts the server.
     *
     * @param settings the listen address, the key that the protected paths require, and TLS
     * @param endpointData the sources of the data to return
     * @return the running server
     */
    public static OperatorServer of(OperatorSettings settings, OperatorEndpointData endpointData) {
        requireNonNull(settings, "settings is null");
        requireNonNull(endpointData, "endpointData is null");
        OperatorServer operator = new OperatorServer(settings, endpointData);
        ServerOptions options = ServerOptions.defaults().withTls(settings.tls());
        operator.server = JsonServer.of(settings.listenAddress(), options, operator::handle);
        return operator;
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address
     */
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private Single<HttpResponse> handle(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
        try {
            return Single.succeeded(
                    request.method().name().equals("GET")
                            ? respond(context, request, responses)
                            : rejectUnknownPath());
        } catch (CodedException e) {
            return Single.succeeded(ProblemResponses.response(context, responses, e.code(), e));
        }
    }

    private HttpResponse respond(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
        return switch (request.path()) {
            case "/live" -> text(context, responses.ok(), "live\n");
            case "/ready" ->
                    endpointData.readiness().getAsBoolean()
                            ? text(context, responses.ok(), "ready\n")
                            : text(context, responses.serviceUnavailable(), "not ready\n");
            case "/metrics" -> text(context, responses.ok(), endpointData.metrics().scrape());
            case "/v1/status" -> {
                authorize(request);
                yield json(context, responses, endpointData.status().get());
            }
            case "/v1/timeline" -> {
                authorize(request);
                yield json(
                        context, responses, Timeline.toMessages(endpointData.events().allEvents()));
            }
            default -> rejectUnknownPath();
        };
    }

    private static HttpResponse rejectUnknownPath() {
        throw CodedException.of(ErrorCode.UNKNOWN_PATH, "no such path or method");
    }

    private void authorize(HttpRequest request) {
        CharSequence authorization = request.headers().get("authorization");
        boolean isAuthorized =
                authorization != null
                        && authorization.toString().startsWith(BEARER_PREFIX)
                        && matches(authorization.toString().substring(BEARER_PREFIX.length()));
        if (!isAuthorized) {
            String detail = request.path() + " was requested with a missing or wrong key";
            endpointData.events().record(EventCode.OPERATOR_REFUSED, EventScope.empty(), detail);
            throw CodedException.of(ErrorCode.UNAUTHORIZED, "the operator key is missing or wrong");
        }
    }

    private boolean matches(String candidate) {
        return settings.key().filter(key -> key.matches(candidate)).isPresent();
    }

    private static HttpResponse text(
            HttpServiceContext context, HttpResponse response, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return response.payloadBody(context.executionContext().bufferAllocator().wrap(bytes))
                .setHeader("content-type", "text/plain; charset=utf-8");
    }

    private static HttpResponse json(
            HttpServiceContext context, HttpResponseFactory responses, Object value) {
        HttpResponse response = responses.newResponse(HttpResponseStatus.OK);
        return response.payloadBody(
                        context.executionContext().bufferAllocator().wrap(Json.writeBytes(value)))
                .setHeader("content-type", "application/json");
    }
}
