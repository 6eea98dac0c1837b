package org.carobstage.platform;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.Address;

/**
 * A VM in the platform's list, which lags behind reality.
 *
 * @param name the VM or backend server: {@code vm/<id>} or {@code backend/<group>/<instance>}
 * @param leaving true if it is about to leave
 * @param peer where its process listens for peers; null for a backend server
 */
public record RegisteredVm(String name, boolean isLeaving, Address peerAddress) {
    /** Checks the VM. */
    public RegisteredVm {
        requireNonNull(name, "name is null");
    }
}
