package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.AccountName;

/**
 * Whom a request for a connection serves.
 *
 * @param account the client account, or empty if the request serves none
 * @param priority the priority of the request; 0 is the highest
 * @param targetNanos the monotonic time in ns at which the target latency of the operation passes
 */
public record RequestOrigin(Optional<AccountName> account, int priority, long targetNanos) {
    /** Rejects null components. */
    public RequestOrigin {
        requireNonNull(account, "account is null");
    }

    /**
     * Creates the origin of a request that serves no client account and has the highest priority.
     *
     * @param deadlineNanos the monotonic time in ns at which the request times out
     * @return the origin
     */
    public static RequestOrigin internal(long deadlineNanos) {
        return new RequestOrigin(Optional.empty(), 0, deadlineNanos);
    }
}
