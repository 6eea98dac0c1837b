package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * A kind of request in a workload.
 *
 * @param name the request class in the team's document
 * @param isWrite true if the request adds an entry, false if it lists entries
 * @param hasIdempotencyKey true if the request carries an idempotency key
 * @param maxStaleness the maximum staleness of a list; zero if it must be current
 * @param weight the relative frequency outside the peak period
 * @param peakWeight the relative frequency during the peak period
 */
public record RequestKind(
        String name,
        boolean isWrite,
        boolean hasIdempotencyKey,
        Duration maxStaleness,
        double weight,
        double peakWeight) {
    /** Rejects null components. */
    public RequestKind {
        requireNonNull(name, "name is null");
        requireNonNull(maxStaleness, "maxStaleness is null");
    }

    static RequestKind write(
            String name, boolean hasIdempotencyKey, double weight, double peakWeight) {
        return new RequestKind(name, true, hasIdempotencyKey, Duration.ZERO, weight, peakWeight);
    }

    static RequestKind read(String name, Duration maxStaleness, double weight) {
        return new RequestKind(name, false, false, maxStaleness, weight, weight);
    }

    double weight(boolean isPeak) {
        return isPeak ? peakWeight : weight;
    }
}
