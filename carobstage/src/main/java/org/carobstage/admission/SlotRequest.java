package org.carobstage.admission;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.ServiceName;

/**
 * A request for a slot.
 *
 * @param <T> the payload type
 * @param service the service whose document sets the patience
 * @param deadlineNanos the end of the caller's patience, in ns of the monotonic clock
 * @param payload the object that waits for the slot
 */
public record SlotRequest<T>(ServiceName service, long deadlineNanos, T payload) {
    /** Rejects null components. */
    public SlotRequest {
        requireNonNull(service, "service is null");
        requireNonNull(payload, "payload is null");
    }

    boolean hasEarlierDeadline(SlotRequest<T> other) {
        return deadlineNanos - other.deadlineNanos < 0;
    }
}
