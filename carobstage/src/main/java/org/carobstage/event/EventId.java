package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.VmId;

/**
 * Names an event among those of all processes.
 *
 * @param vm where it happened
 * @param sequence its number there; grows with each event, also across a restart
 */
public record EventId(VmId vm, long sequence) {
    /** Checks the id. */
    public EventId {
        requireNonNull(vm, "vm is null");
    }

    @Override
    public String toString() {
        return vm + "#" + sequence;
    }
}
