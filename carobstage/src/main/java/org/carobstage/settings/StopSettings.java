package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * How the process stops.
 *
 * @param notice how long new work is still taken, so that the platform's balancer can turn away
 * @param limit how long requests in progress may take after that
 */
public record StopSettings(Duration notice, Duration limit) {
    /** Checks the settings. */
    public StopSettings {
        requireNonNull(notice, "notice is null");
        requireNonNull(limit, "limit is null");
    }
}
