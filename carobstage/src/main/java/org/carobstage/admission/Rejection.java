package org.carobstage.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The rejection of a request that would get no slot in time.
 *
 * @param <T> the payload type of the request
 * @param slotRequest the request
 * @param retryAfter the delay after which a request with the same patience is expected to be
 *     admitted
 */
public record Rejection<T>(SlotRequest<T> slotRequest, Duration retryAfter) {
    /** Rejects null components. */
    public Rejection {
        requireNonNull(slotRequest, "slotRequest is null");
        requireNonNull(retryAfter, "retryAfter is null");
    }
}
