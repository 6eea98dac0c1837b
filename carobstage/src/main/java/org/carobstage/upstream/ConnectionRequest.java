package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.carobstage.model.InstanceId;

/**
 * A statement's wish for a connection.
 *
 * @param use what the connection is for
 * @param avoid instances that have refused the statement; the owner may add to it
 * @param values the session values that the connection had best have
 * @param deadlineNanos the monotonic time at which the statement is given up
 * @param granted takes the connection
 * @param refused takes the reason if the wish can't be met before the deadline
 */
public record ConnectionRequest(
        Purpose purpose,
        Set<InstanceId> excludedInstances,
        Map<String, String> sessionVariables,
        long deadlineNanos,
        Consumer<PooledConnection> onGranted,
        Consumer<String> onRefused) {
    /** Checks the request. */
    public ConnectionRequest {
        requireNonNull(purpose, "use is null");
        requireNonNull(excludedInstances, "avoid is null");
        requireNonNull(sessionVariables, "values is null");
        requireNonNull(onGranted, "granted is null");
        requireNonNull(onRefused, "refused is null");
    }

    boolean needsPrimary() {
        return purpose == Purpose.PRIMARY || purpose == Purpose.PRIMARY_TRANSACTION;
    }

    boolean pinsConnection() {
        return purpose == Purpose.TRANSACTION || purpose == Purpose.PRIMARY_TRANSACTION;
    }

    /** What a connection is for. */
    public enum Purpose {
        /** A statement that any instance may run. */
        ANY_INSTANCE,
        /** A statement that only the primary may run. */
        PRIMARY,
        /** A transaction that any instance may run. */
        TRANSACTION,
        /** A transaction that only the primary may run. */
        PRIMARY_TRANSACTION
    }
}
