package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.carobstage.model.InstanceId;

/**
 * A statement's request for a connection.
 *
 * @param origin whom the request serves
 * @param purpose what the connection is for
 * @param excludedInstances instances that have rejected the statement; the owner of the request may
 *     add to the set
 * @param sessionVariables the session variables that the connection should preferably have
 * @param deadlineNanos the monotonic time in ns at which the statement times out
 * @param onGranted receives the connection
 * @param onRejected receives the reason if no connection is available before the deadline
 * @param isRetry whether an earlier attempt of the statement has already had a connection
 */
public record ConnectionRequest(
        RequestOrigin origin,
        Purpose purpose,
        Set<InstanceId> excludedInstances,
        Map<String, String> sessionVariables,
        long deadlineNanos,
        Consumer<PooledConnection> onGranted,
        Consumer<String> onRejected,
        boolean isRetry) {
    /** Rejects null components. */
    public ConnectionRequest {
        requireNonNull(origin, "origin is null");
        requireNonNull(purpose, "purpose is null");
        requireNonNull(excludedInstances, "excludedInstances is null");
        requireNonNull(sessionVariables, "sessionVariables is null");
        requireNonNull(onGranted, "onGranted is null");
        requireNonNull(onRejected, "onRejected is null");
    }

    /**
     * Creates the request of a first attempt.
     *
     * @param origin whom the request serves
     * @param purpose what the connection is for
     * @param excludedInstances instances that have rejected the statement
     * @param sessionVariables the session variables that the connection should preferably have
     * @param deadlineNanos the monotonic time in ns at which the statement times out
     * @param onGranted receives the connection
     * @param onRejected receives the reason if no connection is available before the deadline
     */
    public ConnectionRequest(
            RequestOrigin origin,
            Purpose purpose,
            Set<InstanceId> excludedInstances,
            Map<String, String> sessionVariables,
            long deadlineNanos,
            Consumer<PooledConnection> onGranted,
            Consumer<String> onRejected) {
        this(
                origin,
                purpose,
                excludedInstances,
                sessionVariables,
                deadlineNanos,
                onGranted,
                onRejected,
                false);
    }

    /**
     * Creates a request that serves no client account.
     *
     * @param purpose what the connection is for
     * @param excludedInstances instances that have rejected the statement
     * @param sessionVariables the session variables that the connection should preferably have
     * @param deadlineNanos the monotonic time in ns at which the statement times out
     * @param onGranted receives the connection
     * @param onRejected receives the reason if no connection is available before the deadline
     */
    public ConnectionRequest(
            Purpose purpose,
            Set<InstanceId> excludedInstances,
            Map<String, String> sessionVariables,
            long deadlineNanos,
            Consumer<PooledConnection> onGranted,
            Consumer<String> onRejected) {
        this(
                RequestOrigin.internal(deadlineNanos),
                purpose,
                excludedInstances,
                sessionVariables,
                deadlineNanos,
                onGranted,
                onRejected);
    }

    /**
     * Returns the same request as that of a later attempt.
     *
     * @param attempt the number of the attempt, from 1
     * @return the request
     */
    public ConnectionRequest withAttempt(int attempt) {
        return new ConnectionRequest(
                origin,
                purpose,
                excludedInstances,
                sessionVariables,
                deadlineNanos,
                onGranted,
                onRejected,
                attempt > 1);
    }

    boolean needsPrimary() {
        return purpose == Purpose.PRIMARY || purpose == Purpose.PRIMARY_TRANSACTION;
    }

    boolean pinsConnection() {
        return purpose == Purpose.TRANSACTION || purpose == Purpose.PRIMARY_TRANSACTION;
    }

    boolean acceptsAnyAccount() {
        return purpose == Purpose.STATUS_QUERY;
    }

    boolean acceptsDraining() {
        return purpose == Purpose.STATUS_QUERY;
    }

    /** What a connection is for. */
    public enum Purpose {
        /** A status query, which draining instances answer too. */
        STATUS_QUERY,
        /** A statement that any instance may run. */
        ANY_INSTANCE,
        /** A statement that only the primary may run. */
        PRIMARY,
        /** A transaction that any instance may run. */
        TRANSACTION,
        /** A transaction that only the primary may run. */
        PRIMARY_TRANSACTION
    }

    /** Returns whether the other object is this request; each statement has requests of its own. */
    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
