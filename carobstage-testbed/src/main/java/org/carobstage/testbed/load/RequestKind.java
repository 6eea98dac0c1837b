package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * A kind of request in a workload.
 *
 * @param name the request class in the team's document
 * @param adds true if it adds an entry, false if it lists entries
 * @param keyed true if it carries an idempotency key
 * @param staleness how old a list may be
 * @param weight its part of the requests
 * @param rushWeight its part of the requests during the rush
 */
public record RequestKind(
        String name,
        boolean isWrite,
        boolean hasIdempotencyKey,
        Duration maxStaleness,
        double weight,
        double peakWeight) {
    /** Checks the kind. */
    public RequestKind {
        requireNonNull(name, "name is null");
        requireNonNull(maxStaleness, "staleness is null");
    }

    static RequestKind write(String name, boolean keyed, double weight, double rushWeight) {
        return new RequestKind(name, true, keyed, Duration.ZERO, weight, rushWeight);
    }

    static RequestKind read(String name, Duration staleness, double weight) {
        return new RequestKind(name, false, false, staleness, weight, weight);
    }

    double weight(boolean rush) {
        return rush ? peakWeight : weight;
    }
}
