package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.VmId;

/**
 * Identifies an event across all processes.
 *
 * @param vm the VM of the process that recorded it
 * @param sequence its sequence number on this VM; grows with each event, also across a restart
 */
public record EventId(VmId vm, long sequence) {
    /** Rejects a null VM identifier. */
    public EventId {
        requireNonNull(vm, "vm is null");
    }

    @Override
    public String toString() {
        return vm + "#" + sequence;
    }
}
