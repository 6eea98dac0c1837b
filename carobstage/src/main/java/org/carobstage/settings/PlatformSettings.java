package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.Address;

/**
 * Settings of the connection to the platform.
 *
 * @param address the address of the platform's service
 */
public record PlatformSettings(Address address) {
    /** Rejects a null address. */
    public PlatformSettings {
        requireNonNull(address, "address is null");
    }
}
