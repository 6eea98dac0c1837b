package org.carobstage.document;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * What a team's document says of a request at one moment.
 *
 * @param access whether the request reads or writes
 * @param staleness how old the data of a read may be; zero if it must be current
 * @param idempotent true if running a write twice does no harm
 * @param patience how long the caller waits
 */
public record RequestPolicy(
        Access access, Duration maxStaleness, boolean idempotent, Duration patience) {
    /** Checks the policy. */
    public RequestPolicy {
        requireNonNull(access, "access is null");
        requireNonNull(maxStaleness, "staleness is null");
        requireNonNull(patience, "patience is null");
    }

    /** Whether a request changes data. */
    public enum Access {
        /** It only reads. */
        READ,
        /** It may change data. */
        WRITE
    }
}
