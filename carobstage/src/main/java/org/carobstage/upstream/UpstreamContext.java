package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

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
 */
public record UpstreamContext(
        Clock clock,
        InstanceConnector connector,
        FailureDomain domain,
        EventLog events,
        boolean fencingEnforced) {
    /** Rejects null components. */
    public UpstreamContext {
        requireNonNull(clock, "clock is null");
        requireNonNull(connector, "connector is null");
        requireNonNull(domain, "domain is null");
        requireNonNull(events, "events is null");
    }
}
