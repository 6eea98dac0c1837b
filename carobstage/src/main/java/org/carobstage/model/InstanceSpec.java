package org.carobstage.model;

import static java.util.Objects.requireNonNull;

/**
 * Describes an instance of a database group.
 *
 * @param id the instance
 * @param address the address on which it accepts connections
 * @param domain the failure domain it runs in
 */
public record InstanceSpec(InstanceId id, Address address, FailureDomain domain) {
    /** Rejects null components. */
    public InstanceSpec {
        requireNonNull(id, "id is null");
        requireNonNull(address, "address is null");
        requireNonNull(domain, "domain is null");
    }
}
