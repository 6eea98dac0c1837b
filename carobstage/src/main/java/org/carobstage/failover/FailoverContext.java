package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.model.GroupId;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;
import org.carobstage.store.MetadataStore;

/**
 * The dependencies that the failovers of all services share.
 *
 * @param vm the VM of this process
 * @param clock the runtime's clock
 * @param store the store that holds votes and leases
 * @param promotionClient the client that requests promotions from the platform
 * @param events the event log
 * @param fencingEnforced whether the platform rejects requests with an outdated fencing token
 */
public record FailoverContext(
        VmId vm,
        Clock clock,
        MetadataStore store,
        PromotionClient promotionClient,
        EventLog events,
        boolean fencingEnforced) {
    /** Rejects null components. */
    public FailoverContext {
        requireNonNull(vm, "vm is null");
        requireNonNull(clock, "clock is null");
        requireNonNull(store, "store is null");
        requireNonNull(promotionClient, "promotionClient is null");
        requireNonNull(events, "events is null");
    }

    void record(EventCode code, ServiceName service, String detail) {
        events.record(code, EventScope.of(GroupId.of(service.value())), detail);
    }
}
