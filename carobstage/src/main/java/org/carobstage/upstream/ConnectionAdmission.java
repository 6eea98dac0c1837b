package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

/**
 * Decides which requests may wait for a connection, and refuses the others at once with the time to
 * come back.
 */
final class ConnectionAdmission {
    /** Waiting statements for each one admitted; at 30 to 50 ms each they wait 240 to 400 ms. */
    private static final int WAITERS_PER_STATEMENT = 8;

    private static final int MIN_WAITERS = 32;

    private final PrimaryRecoveryEstimate outlook;
    private final ConnectionQueue queue = ConnectionQueue.empty();

    ConnectionAdmission(PrimaryRecoveryEstimate outlook) {
        this.outlook = requireNonNull(outlook, "outlook is null");
    }

    int waitingCount() {
        return queue.size();
    }

    void cancel(ConnectionRequest request) {
        queue.removeMatching(r -> r == request);
    }

    void assignConnections(
            long now, Function<ConnectionRequest, Optional<PooledConnection>> connections) {
        queue.assignConnections(now, connections);
    }

    /**
     * Lets a request wait.
     *
     * @param request the request
     * @param capacity what the service can do at present
     * @param now the monotonic time
     * @return the reason if the request is refused
     */
    Optional<String> admit(ConnectionRequest request, Capacity capacity, long now) {
        int most = Math.max(MIN_WAITERS, WAITERS_PER_STATEMENT * capacity.statementLimit());
        if (queue.size() >= most) {
            return Optional.of(
                    "queue of "
                            + queue.size()
                            + " is full, retry after "
                            + queue.expectedWait(request).toMillis()
                            + " ms");
        }
        if (isHopeless(request, capacity, now)) {
            return Optional.of(outlook.retryAfterMessage(now));
        }
        return queue.tryAdd(request, now, capacity.serviceTime()).map(this::tooLong);
    }

    /**
     * Refuses requests that wait in vain.
     *
     * @param capacity what the service can do at present
     * @param now the monotonic time
     */
    void rejectUnservable(Capacity capacity, long now) {
        queue.removeMatching(r -> isHopeless(r, capacity, now))
                .forEach(r -> r.onRefused().accept(outlook.retryAfterMessage(now)));
    }

    private boolean isHopeless(ConnectionRequest request, Capacity capacity, long now) {
        return request.needsPrimary()
                && !capacity.hasPrimary()
                && outlook.isUnavailableUntil(request.deadlineNanos(), now);
    }

    private String tooLong(Duration wait) {
        long millis = wait.toMillis();
        return "queue of "
                + queue.size()
                + " waits "
                + millis
                + " ms, retry after "
                + millis
                + " ms";
    }

    /**
     * What a service can do at present.
     *
     * @param hasPrimary whether its primary can be used
     * @param statements how many statements this process may have under way
     * @param serviceTime how long a statement takes once it has a connection
     */
    record Capacity(boolean hasPrimary, int statementLimit, Duration serviceTime) {}
}
