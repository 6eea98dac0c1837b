package org.carobstage.discovery;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;

/**
 * The registration of an instance.
 *
 * @param id the instance id
 * @param service the service that the instance belongs to
 * @param address the address on which the instance listens
 * @param domain the failure domain of the instance
 * @param slots the number of statements that the instance executes concurrently
 * @param draining whether the instance is about to stop
 * @param primary whether the instance registered as primary
 * @param bornMillis the start time of the instance, in ms since the Unix epoch
 * @param heartbeat the number of the heartbeat that wrote the entry, counted since the start
 */
public record InstanceEntry(
        InstanceId id,
        ServiceName service,
        Address address,
        FailureDomain domain,
        int slots,
        boolean draining,
        boolean primary,
        long bornMillis,
        long heartbeat) {
    /** Rejects null components. */
    public InstanceEntry {
        requireNonNull(id, "id is null");
        requireNonNull(service, "service is null");
        requireNonNull(address, "address is null");
        requireNonNull(domain, "domain is null");
    }

    /**
     * Returns whether the same run of the instance wrote another entry later. A store that was
     * restored from a copy shows such earlier entries until the next heartbeat.
     *
     * @param other the other entry
     * @return true if this entry is the earlier one
     */
    public boolean isEarlierThan(InstanceEntry other) {
        return id.equals(other.id) && bornMillis == other.bornMillis && heartbeat < other.heartbeat;
    }

    @Override
    public String toString() {
        return "InstanceEntry[id="
                + id
                + ", service="
                + service
                + ", address="
                + address
                + ", domain="
                + domain
                + ", slots="
                + slots
                + ", draining="
                + draining
                + ", primary="
                + primary
                + ", bornMillis="
                + bornMillis
                + ", heartbeat="
                + heartbeat
                + "]";
    }
}
