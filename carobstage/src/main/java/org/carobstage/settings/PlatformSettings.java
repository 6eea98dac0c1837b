package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.Address;

/**
 * How the process reaches the platform.
 *
 * @param address where the platform's service is
 */
public record PlatformSettings(Address address) {
    /** Checks the settings. */
    public PlatformSettings {
        requireNonNull(address, "address is null");
    }
}
