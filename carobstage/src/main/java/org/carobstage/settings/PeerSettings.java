package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.carobstage.model.Address;
import org.carobstage.security.Secret;

/**
 * How the processes of the fleet reach each other.
 *
 * @param listen where this one listens; empty if it keeps to itself
 * @param seeds where others may be found at the start
 * @param secret what all processes of the fleet share
 */
public record PeerSettings(Optional<Address> listen, List<Address> seeds, Optional<Secret> secret) {
    /** Checks the settings. */
    public PeerSettings {
        requireNonNull(listen, "listen is null");
        seeds = List.copyOf(seeds);
        requireNonNull(secret, "secret is null");
    }
}
