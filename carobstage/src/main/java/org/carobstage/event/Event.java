package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.VmId;

/**
 * A decision or observation of one process.
 *
 * @param id the id
 * @param time the hybrid time at which it was recorded
 * @param code the kind of event
 * @param scope the group, request and session that it concerns
 * @param detail the figures and reasons, as text
 * @param cause the id of the event that caused it, if any
 */
public record Event(
        EventId id,
        HybridTime time,
        EventCode code,
        EventScope scope,
        String detail,
        Optional<EventId> cause) {
    /** Rejects null components. */
    public Event {
        requireNonNull(id, "id is null");
        requireNonNull(time, "time is null");
        requireNonNull(code, "code is null");
        requireNonNull(scope, "scope is null");
        requireNonNull(detail, "detail is null");
        requireNonNull(cause, "cause is null");
    }

    /**
     * Returns the VM of the process that recorded the event.
     *
     * @return the VM
     */
    public VmId vm() {
        return id.vm();
    }

    /** Returns the event as one human-readable line. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder();
        line.append(code.number()).append(' ').append(code).append(" id=").append(id);
        scope.fields().forEach((name, value) -> line.append(' ').append(name + "=" + value));
        cause.ifPresent(c -> line.append(" cause=").append(c));
        return detail.isEmpty() ? line.toString() : line.append(" : ").append(detail).toString();
    }
}
