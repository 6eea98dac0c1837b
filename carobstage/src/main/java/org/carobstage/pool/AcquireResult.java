package org.carobstage.pool;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.backend.BackendConnection;

/**
 * The answer to a request for a slot.
 *
 * @param status whether it was granted
 * @param connection the connection that goes with the slot, or empty if the request was refused
 * @param retryAfter when a request with the same patience is expected to fit, if refused
 */
public record AcquireResult(
        Status status, Optional<BackendConnection> connection, Duration retryAfter) {
    /** Checks the grant. */
    public AcquireResult {
        requireNonNull(status, "status is null");
        requireNonNull(connection, "connection is null");
        requireNonNull(retryAfter, "retryAfter is null");
    }

    /**
     * Creates the refusal of an instance that is not to be waited for.
     *
     * @return the refusal
     */
    public static AcquireResult unreachable() {
        return refused(Status.UNREACHABLE, Duration.ZERO);
    }

    static AcquireResult granted(BackendConnection connection) {
        return new AcquireResult(Status.GRANTED, Optional.of(connection), Duration.ZERO);
    }

    static AcquireResult refused(Status status, Duration retryAfter) {
        return new AcquireResult(status, Optional.empty(), retryAfter);
    }

    /** Whether a request for a slot was granted. */
    public enum Status {
        /** It has a slot and a connection. */
        GRANTED,
        /** It is not expected to run within the caller's patience. */
        OVERLOADED,
        /** This process has no slot or connection there for now; another instance may do. */
        UNREACHABLE
    }
}
