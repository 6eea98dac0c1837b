package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import java.util.function.ObjLongConsumer;
import org.carobstage.event.EventLog;
import org.carobstage.model.FailureDomain;
import org.carobstage.runtime.Clock;

/**
 * The context that all pools of a process share.
 *
 * @param clock the runtime's clock
 * @param connector opens connections
 * @param domain the failure domain of this VM
 * @param events the event log
 * @param fencingEnforced whether a promotion ends the leadership of the former primary at once
 * @param jitter returns random numbers from 0 (inclusive) to 1 (exclusive)
 * @param admissionOrder the order in which requests for a connection are granted
 * @param metrics adds a number to the counter of a name
 */
public record UpstreamContext(
        Clock clock,
        InstanceConnector connector,
        FailureDomain domain,
        EventLog events,
        boolean fencingEnforced,
        DoubleSupplier jitter,
        AdmissionOrder admissionOrder,
        ObjLongConsumer<String> metrics) {
    /** Rejects null components. */
    public UpstreamContext {
        requireNonNull(clock, "clock is null");
        requireNonNull(connector, "connector is null");
        requireNonNull(domain, "domain is null");
        requireNonNull(events, "events is null");
        requireNonNull(jitter, "jitter is null");
        requireNonNull(admissionOrder, "admissionOrder is null");
        requireNonNull(metrics, "metrics is null");
    }

    /**
     * Creates a context with the default source of random numbers, that grants connections in the
     * order of deadlines and counts nothing.
     *
     * @param clock the runtime's clock
     * @param connector opens connections
     * @param domain the failure domain of this VM
     * @param events the event log
     * @param fencingEnforced whether a promotion ends the leadership of the former primary at once
     */
    public UpstreamContext(
            Clock clock,
            InstanceConnector connector,
            FailureDomain domain,
            EventLog events,
            boolean fencingEnforced) {
        this(
                clock,
                connector,
                domain,
                events,
                fencingEnforced,
                () -> ThreadLocalRandom.current().nextDouble());
    }

    /**
     * Creates a context that grants connections in the order of deadlines and counts nothing.
     *
     * @param clock the runtime's clock
     * @param connector opens connections
     * @param domain the failure domain of this VM
     * @param events the event log
     * @param fencingEnforced whether a promotion ends the leadership of the former primary at once
     * @param jitter returns random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public UpstreamContext(
            Clock clock,
            InstanceConnector connector,
            FailureDomain domain,
            EventLog events,
            boolean fencingEnforced,
            DoubleSupplier jitter) {
        this(
                clock,
                connector,
                domain,
                events,
                fencingEnforced,
                jitter,
                AdmissionOrder.DEADLINE,
                (name, value) -> {});
    }

    /**
     * Returns this context with an order of requests and its counters.
     *
     * @param order the order in which requests for a connection are granted
     * @param newMetrics adds a number to the counter of a name
     * @return the context
     */
    public UpstreamContext withAdmission(AdmissionOrder order, ObjLongConsumer<String> newMetrics) {
        return new UpstreamContext(
                clock, connector, domain, events, fencingEnforced, jitter, order, newMetrics);
    }
}
