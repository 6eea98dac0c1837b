package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;

/**
 * Which VM this is.
 *
 * @param id the VM
 * @param domain the failure domain it runs in
 * @param region the region of that failure domain
 * @param entryVms how many entry VMs share the limits of the instances
 */
public record VmSettings(VmId id, FailureDomain domain, String region, int entryVmCount) {
    /** Checks the settings. */
    public VmSettings {
        requireNonNull(id, "id is null");
        requireNonNull(domain, "domain is null");
        requireNonNull(region, "region is null");
    }
}
