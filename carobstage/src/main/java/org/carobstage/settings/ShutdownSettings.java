package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Settings of a graceful shutdown.
 *
 * @param deregistrationDelay how long new requests are still accepted, so that the platform's load
 *     balancer has time to stop sending them here
 * @param drainTimeout how long requests in progress may take after that
 */
public record ShutdownSettings(Duration deregistrationDelay, Duration drainTimeout) {
    /** Rejects null components. */
    public ShutdownSettings {
        requireNonNull(deregistrationDelay, "deregistrationDelay is null");
        requireNonNull(drainTimeout, "drainTimeout is null");
    }
}
