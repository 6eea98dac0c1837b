package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;

/**
 * Identity of an entry VM.
 *
 * @param id the id of the entry VM
 * @param domain the failure domain that it runs in
 * @param region the region of that failure domain
 * @param entryVmCount how many entry VMs share the limits of the instances
 */
public record VmSettings(VmId id, FailureDomain domain, String region, int entryVmCount) {
    /** Rejects null components. */
    public VmSettings {
        requireNonNull(id, "id is null");
        requireNonNull(domain, "domain is null");
        requireNonNull(region, "region is null");
    }
}
