package org.carobstage.operator;

import static java.util.Objects.requireNonNull;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.carobstage.event.EventLog;

/**
 * The sources of the data that the operator interface returns.
 *
 * @param metrics the metrics
 * @param events the event log
 * @param readiness returns whether the load balancer may send callers to this process
 * @param status returns the current status of the process; called for each request
 */
public record OperatorEndpointData(
        PrometheusMeterRegistry metrics,
        EventLog events,
        BooleanSupplier readiness,
        Supplier<StatusMessage> status) {
    /** Rejects null components. */
    public OperatorEndpointData {
        requireNonNull(metrics, "metrics is null");
        requireNonNull(events, "events is null");
        requireNonNull(readiness, "readiness is null");
        requireNonNull(status, "status is null");
    }
}
