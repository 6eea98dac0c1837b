package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.VmId;

/**
 * A decision or observation of one process.
 *
 * @param id names it
 * @param time when it happened
 * @param code what happened
 * @param scope what it is about
 * @param detail the figures and reasons, in words
 * @param cause the event that it follows from
 */
public record Event(
        EventId id,
        HybridTime time,
        EventCode code,
        EventScope scope,
        String detail,
        Optional<EventId> cause) {
    /** Checks the event. */
    public Event {
        requireNonNull(id, "id is null");
        requireNonNull(time, "time is null");
        requireNonNull(code, "code is null");
        requireNonNull(scope, "scope is null");
        requireNonNull(detail, "detail is null");
        requireNonNull(cause, "cause is null");
    }

    /**
     * Returns where it happened.
     *
     * @return the VM
     */
    public VmId vm() {
        return id.vm();
    }

    /** Returns the event as one line for people. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder();
        line.append(code.number()).append(' ').append(code).append(" id=").append(id);
        scope.fields().forEach((name, value) -> line.append(' ').append(name + "=" + value));
        cause.ifPresent(c -> line.append(" cause=").append(c));
        return detail.isEmpty() ? line.toString() : line.append(" : ").append(detail).toString();
    }
}
