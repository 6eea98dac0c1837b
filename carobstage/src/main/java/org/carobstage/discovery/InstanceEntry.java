package org.carobstage.discovery;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;

/**
 * What an instance registers of itself.
 *
 * @param id its id
 * @param service the service it belongs to
 * @param address where it listens
 * @param domain its failure domain
 * @param slots how many statements it runs at once
 * @param draining whether it is about to stop
 * @param primary whether it takes itself for the primary
 * @param bornMillis the Unix millisecond of its start
 */
public record InstanceEntry(
        InstanceId id,
        ServiceName service,
        Address address,
        FailureDomain domain,
        int slots,
        boolean draining,
        boolean primary,
        long bornMillis) {
    /** Checks the entry. */
    public InstanceEntry {
        requireNonNull(id, "id is null");
        requireNonNull(service, "service is null");
        requireNonNull(address, "address is null");
        requireNonNull(domain, "domain is null");
    }
}
