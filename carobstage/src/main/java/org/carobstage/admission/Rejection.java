package org.carobstage.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * A ticket that will get no slot in time.
 *
 * @param <T> the type of what waited
 * @param ticket the ticket
 * @param retryAfter when a request with the same patience is expected to fit
 */
public record Rejection<T>(SlotRequest<T> slotRequest, Duration retryAfter) {
    /** Checks the rejection. */
    public Rejection {
        requireNonNull(slotRequest, "ticket is null");
        requireNonNull(retryAfter, "retryAfter is null");
    }
}
