package org.carobstage.platform;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.Address;

/**
 * A VM or backend server in the platform's list, which may be outdated.
 *
 * @param name the name: {@code vm/<id>} or {@code backend/<group>/<instance>}
 * @param isLeaving true if it is about to leave
 * @param peerAddress where its process accepts peer connections; null for a backend server
 */
public record RegisteredVm(String name, boolean isLeaving, Address peerAddress) {
    /** Rejects a null name. */
    public RegisteredVm {
        requireNonNull(name, "name is null");
    }
}
