package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;

/**
 * The checked settings of an entry VM's process.
 *
 * @param vm the VM
 * @param domain the failure domain it runs in
 * @param caller where callers reach it
 * @param operator where operators and the platform's balancer reach it
 * @param platform where the platform's service is
 * @param maxStatementBytes the longest request body accepted, in bytes
 * @param tokenKey the key that signs session tokens
 * @param entryVms how many entry VMs share the limits of the instances
 */
public record Settings(
        VmId vm,
        FailureDomain domain,
        Address caller,
        Address operator,
        Address platform,
        int maxStatementBytes,
        String tokenKey,
        int entryVms) {
    /** Checks the settings. */
    public Settings {
        requireNonNull(vm, "vm is null");
        requireNonNull(domain, "domain is null");
        requireNonNull(caller, "caller is null");
        requireNonNull(operator, "operator is null");
        requireNonNull(platform, "platform is null");
        requireNonNull(tokenKey, "tokenKey is null");
    }
}
