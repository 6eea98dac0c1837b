package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
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
 */
public record UpstreamContext(
        Clock clock,
        InstanceConnector connector,
        FailureDomain domain,
        EventLog events,
        boolean fencingEnforced,
        DoubleSupplier jitter) {
    /** Rejects null components. */
    public UpstreamContext {
        requireNonNull(clock, "clock is null");
        requireNonNull(connector, "connector is null");
        requireNonNull(domain, "domain is null");
        requireNonNull(events, "events is null");
        requireNonNull(jitter, "jitter is null");
    }

    /**
     * Creates a context with the default source of random numbers.
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
}
