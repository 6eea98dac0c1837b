package org.carobstage.document;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The policy that a team's document sets for a request at a given time.
 *
 * @param access whether the request reads or writes
 * @param maxStaleness how old the data of a read may be; zero if it must be current
 * @param idempotent true if running the request twice has the same effect as running it once
 * @param patience how long the caller waits for a result
 */
public record RequestPolicy(
        Access access, Duration maxStaleness, boolean idempotent, Duration patience) {
    /** Rejects null components. */
    public RequestPolicy {
        requireNonNull(access, "access is null");
        requireNonNull(maxStaleness, "maxStaleness is null");
        requireNonNull(patience, "patience is null");
    }

    /** Whether a request changes data. */
    public enum Access {
        /** The request only reads. */
        READ,
        /** The request may change data. */
        WRITE
    }
}
