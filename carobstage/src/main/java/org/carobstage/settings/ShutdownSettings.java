package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * How the process stops.
 *
 * @param notice how long new work is still taken, so that the platform's balancer can turn away
 * @param limit how long requests in progress may take after that
 */
public record ShutdownSettings(Duration deregistrationDelay, Duration drainTimeout) {
    /** Checks the settings. */
    public ShutdownSettings {
        requireNonNull(deregistrationDelay, "notice is null");
        requireNonNull(drainTimeout, "limit is null");
    }
}
