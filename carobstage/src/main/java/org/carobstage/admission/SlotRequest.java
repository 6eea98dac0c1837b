package org.carobstage.admission;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.ServiceName;

/**
 * A request for a slot.
 *
 * @param <T> the type of what waits
 * @param service the service whose document gave the patience
 * @param deadlineNanos when the caller's patience ends, in ns of the runtime's clock
 * @param payload what waits
 */
public record SlotRequest<T>(ServiceName service, long deadlineNanos, T payload) {
    /** Checks the ticket. */
    public SlotRequest {
        requireNonNull(service, "service is null");
        requireNonNull(payload, "payload is null");
    }

    boolean hasEarlierDeadline(SlotRequest<T> other) {
        return deadlineNanos - other.deadlineNanos < 0;
    }
}
