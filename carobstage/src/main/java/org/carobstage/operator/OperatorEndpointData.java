package org.carobstage.operator;

import static java.util.Objects.requireNonNull;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.carobstage.event.EventLog;

/**
 * What the operator pages show.
 *
 * @param metrics the metrics
 * @param events the events
 * @param ready tells whether callers may be sent here
 * @param status the state of the process, asked each time
 */
public record OperatorEndpointData(
        PrometheusMeterRegistry metrics,
        EventLog events,
        BooleanSupplier readiness,
        Supplier<StatusMessage> status) {
    /** Checks the pages. */
    public OperatorEndpointData {
        requireNonNull(metrics, "metrics is null");
        requireNonNull(events, "events is null");
        requireNonNull(readiness, "ready is null");
        requireNonNull(status, "status is null");
    }
}
