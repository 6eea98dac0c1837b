package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.VmId;

/**
 * A decision or observation of one process.
 *
 * @param time when it happened
 * @param vm where it happened
 * @param code what happened
 * @param scope what it is about
 * @param detail the figures and reasons, in words
 */
public record Event(HybridTime time, VmId vm, EventCode code, EventScope scope, String detail) {
    /** Checks the event. */
    public Event {
        requireNonNull(time, "time is null");
        requireNonNull(vm, "vm is null");
        requireNonNull(code, "code is null");
        requireNonNull(scope, "scope is null");
        requireNonNull(detail, "detail is null");
    }
}
