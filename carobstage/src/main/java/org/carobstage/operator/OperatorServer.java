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

/** Serves liveness, readiness and metrics to all, status and time line to who has the key. */
public final class OperatorServer implements AutoCloseable {
    private static final String BEARER = "Bearer ";

    private final OperatorSettings settings;
    private final OperatorEndpointData pages;
    private JsonServer server;

    private OperatorServer(OperatorSettings settings, OperatorEndpointData pages) {
        this.settings = settings;
        this.pages = pages;
    }

    /**
     * Starts the server.
     *
     * @param settings where to listen and which key opens the inner pages
     * @param pages what to show
     * @return the running server
     */
    public static OperatorServer of(OperatorSettings settings, OperatorEndpointData pages) {
        requireNonNull(settings, "settings is null");
        requireNonNull(pages, "pages is null");
        OperatorServer operator = new OperatorServer(settings, pages);
        ServerOptions options = ServerOptions.defaults().withTls(settings.tls());
        operator.server = JsonServer.of(settings.listenAddress(), options, operator::handle);
        return operator;
    }

    /**
     * Returns where the server listens.
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
                            ? page(context, request, responses)
                            : unknown());
        } catch (CodedException e) {
            return Single.succeeded(ProblemResponses.response(context, responses, e.code(), e));
        }
    }

    private HttpResponse page(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
        return switch (request.path()) {
            case "/live" -> text(context, responses.ok(), "live\n");
            case "/ready" ->
                    pages.readiness().getAsBoolean()
                            ? text(context, responses.ok(), "ready\n")
                            : text(context, responses.serviceUnavailable(), "not ready\n");
            case "/metrics" -> text(context, responses.ok(), pages.metrics().scrape());
            case "/v1/status" -> {
                authorize(request);
                yield json(context, responses, pages.status().get());
            }
            case "/v1/timeline" -> {
                authorize(request);
                yield json(context, responses, Timeline.toMessages(pages.events().allEvents()));
            }
            default -> unknown();
        };
    }

    private static HttpResponse unknown() {
        throw CodedException.of(ErrorCode.UNKNOWN_PATH, "no such path or method");
    }

    private void authorize(HttpRequest request) {
        CharSequence offered = request.headers().get("authorization");
        boolean opens =
                offered != null
                        && offered.toString().startsWith(BEARER)
                        && matches(offered.toString().substring(BEARER.length()));
        if (!opens) {
            String detail = request.path() + " was asked for without the key";
            pages.events().record(EventCode.OPERATOR_REFUSED, EventScope.empty(), detail);
            throw CodedException.of(
                    ErrorCode.UNAUTHORIZED, "the operator's key is missing or wrong");
        }
    }

    private boolean matches(String offered) {
        return settings.key().filter(key -> key.matches(offered)).isPresent();
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
