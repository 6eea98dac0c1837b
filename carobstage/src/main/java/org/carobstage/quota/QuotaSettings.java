package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.Address;

/**
 * How account limits are enforced.
 *
 * @param policy the bound on the operations of an account
 * @param peerAddress the address that accepts links from other processes; without it, limits hold
 *     by the equal shares of the processes
 */
public record QuotaSettings(QuotaPolicy policy, Optional<Address> peerAddress) {
    /** Rejects null components. */
    public QuotaSettings {
        requireNonNull(policy, "policy is null");
        requireNonNull(peerAddress, "peerAddress is null");
    }
}
