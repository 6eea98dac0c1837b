package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides which requests may wait for a connection, and rejects the others at once with a
 * retry-after time.
 */
final class ConnectionAdmission implements AdmissionController {
    /**
     * Queued requests per statement in flight; at 30 to 50 ms a statement they wait 240 to 400 ms.
     */
    private static final int WAITERS_PER_STATEMENT = 8;

    private static final int MIN_WAITERS = 32;

    private final PrimaryRecoveryEstimate recoveryEstimate;
    private final ConnectionQueue queue = ConnectionQueue.empty();

    ConnectionAdmission(PrimaryRecoveryEstimate recoveryEstimate) {
        this.recoveryEstimate = requireNonNull(recoveryEstimate, "recoveryEstimate is null");
    }

    @Override
    public int waitingCount() {
        return queue.size();
    }

    @Override
    public boolean cancel(ConnectionRequest request) {
        return !queue.removeMatching(r -> r == request).isEmpty();
    }

    @Override
    public void assignConnections(long nowNanos, ConnectionSource connections) {
        queue.assignConnections(nowNanos, connections);
    }

    /**
     * Queues a request, unless the queue is full or the request would miss its deadline.
     *
     * @param request the request
     * @param capacity the current capacity of the service
     * @param nowNanos the current monotonic time in ns
     * @return the reason if the request is rejected
     */
    @Override
    public Optional<String> admit(ConnectionRequest request, Capacity capacity, long nowNanos) {
        int maxWaiting = Math.max(MIN_WAITERS, WAITERS_PER_STATEMENT * capacity.statementLimit());
        if (queue.size() >= maxWaiting) {
            return Optional.of(
                    "queue of "
                            + queue.size()
                            + " is full, retry after "
                            + queue.expectedWait(request).toMillis()
                            + " ms");
        }
        if (cannotBeServed(request, capacity, nowNanos)) {
            return Optional.of(recoveryEstimate.retryAfterMessage(nowNanos));
        }
        return queue.tryAdd(request, nowNanos, capacity.serviceTime())
                .map(this::waitTooLongMessage);
    }

    /**
     * Rejects the queued requests for which no primary is expected before their deadline.
     *
     * @param capacity the current capacity of the service
     * @param nowNanos the current monotonic time in ns
     */
    @Override
    public void rejectUnservable(Capacity capacity, long nowNanos) {
        queue.removeMatching(r -> cannotBeServed(r, capacity, nowNanos))
                .forEach(r -> r.onRejected().accept(recoveryEstimate.retryAfterMessage(nowNanos)));
    }

    private boolean cannotBeServed(ConnectionRequest request, Capacity capacity, long nowNanos) {
        return request.needsPrimary()
                && !capacity.hasPrimary()
                && recoveryEstimate.isUnavailableUntil(request.deadlineNanos(), nowNanos);
    }

    private String waitTooLongMessage(Duration wait) {
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
     * The current capacity of a service.
     *
     * @param hasPrimary whether its primary is usable
     * @param statementLimit how many statements this process may have in flight
     * @param serviceTime how long a statement takes once it has a connection
     */
    record Capacity(boolean hasPrimary, int statementLimit, Duration serviceTime) {}
}
