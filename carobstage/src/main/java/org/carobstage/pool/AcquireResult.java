package org.carobstage.pool;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.backend.BackendConnection;

/**
 * The result of a request for a slot.
 *
 * @param status whether the request was granted
 * @param connection the connection that goes with the slot, or empty if the request was rejected
 * @param retryAfter the delay after which a request with the same patience is expected to be
 *     admitted, if rejected
 */
public record AcquireResult(
        Status status, Optional<BackendConnection> connection, Duration retryAfter) {
    /** Rejects null components. */
    public AcquireResult {
        requireNonNull(status, "status is null");
        requireNonNull(connection, "connection is null");
        requireNonNull(retryAfter, "retryAfter is null");
    }

    /**
     * Creates the rejection for an instance that is currently unavailable.
     *
     * @return the rejection
     */
    public static AcquireResult unreachable() {
        return rejected(Status.UNREACHABLE, Duration.ZERO);
    }

    static AcquireResult granted(BackendConnection connection) {
        return new AcquireResult(Status.GRANTED, Optional.of(connection), Duration.ZERO);
    }

    static AcquireResult rejected(Status status, Duration retryAfter) {
        return new AcquireResult(status, Optional.empty(), retryAfter);
    }

    /** Whether a request for a slot was granted. */
    public enum Status {
        /** The request has a slot and a connection. */
        GRANTED,
        /** The statement is not expected to complete within the caller's patience. */
        OVERLOADED,
        /**
         * This process has no slot or connection at the instance for now; the caller may use
         * another one.
         */
        UNREACHABLE
    }
}
