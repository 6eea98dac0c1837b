package org.carobstage.upstream;

import java.time.Duration;

/**
 * Counts what happened to the connections to an instance or of a service.
 *
 * @param openings the openings that were started
 * @param evictions the idle connections closed to open one for another account
 * @param refusals the openings that were refused at the connection limit
 * @param backoff the time until the next opening is allowed, the longest of a service
 */
public record PoolCounters(long openings, long evictions, long refusals, Duration backoff) {
    static final PoolCounters NONE = new PoolCounters(0, 0, 0, Duration.ZERO);

    PoolCounters plus(PoolCounters other) {
        return new PoolCounters(
                openings + other.openings,
                evictions + other.evictions,
                refusals + other.refusals,
                backoff.compareTo(other.backoff) > 0 ? backoff : other.backoff);
    }
}
