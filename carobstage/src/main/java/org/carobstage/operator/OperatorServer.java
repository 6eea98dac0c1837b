package org.carobstage.operator;

import static java.util.Objects.requireNonNull;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpServiceContext;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.carobstage.event.EventLog;
import org.carobstage.http.Json;
import org.carobstage.http.JsonServer;
import org.carobstage.model.Address;
import org.carobstage.timeline.Timeline;

/** Serves liveness, readiness, metrics and the time line of this process. */
public final class OperatorServer implements AutoCloseable {
    private final PrometheusMeterRegistry metrics;
    private final EventLog events;
    private final BooleanSupplier ready;
    private JsonServer server;

    private OperatorServer(
            PrometheusMeterRegistry metrics, EventLog events, BooleanSupplier ready) {
        this.metrics = metrics;
        this.events = events;
        this.ready = ready;
    }

    /**
     * Starts the server.
     *
     * @param address where to listen; port 0 takes a free port
     * @param metrics the metrics to show
     * @param events the events to show
     * @param ready tells whether callers may be sent here
     * @return the running server
     */
    public static OperatorServer of(
            Address address,
            PrometheusMeterRegistry metrics,
            EventLog events,
            BooleanSupplier ready) {
        requireNonNull(metrics, "metrics is null");
        OperatorServer operator = new OperatorServer(metrics, events, ready);
        operator.server = JsonServer.of(address, operator::handle);
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
        return Single.succeeded(
                switch (request.path()) {
                    case "/live" -> text(context, responses.ok(), "live\n");
                    case "/ready" ->
                            ready.getAsBoolean()
                                    ? text(context, responses.ok(), "ready\n")
                                    : text(context, responses.serviceUnavailable(), "not ready\n");
                    case "/metrics" -> text(context, responses.ok(), metrics.scrape());
                    case "/v1/timeline" ->
                            text(
                                    context,
                                    responses.ok(),
                                    Json.text(Timeline.messages(events.known())));
                    default -> text(context, responses.notFound(), "no such page\n");
                });
    }

    private static HttpResponse text(
            HttpServiceContext context, HttpResponse response, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return response.payloadBody(context.executionContext().bufferAllocator().wrap(bytes));
    }
}
