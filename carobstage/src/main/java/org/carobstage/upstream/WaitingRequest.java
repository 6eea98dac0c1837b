package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.model.AccountName;

/**
 * A request that waits for a connection.
 *
 * @param request the request
 * @param queuedNanos the monotonic time in ns at which it was queued
 * @param sequence its number in the order of arrival
 */
record WaitingRequest(ConnectionRequest request, long queuedNanos, long sequence) {
    WaitingRequest {
        requireNonNull(request, "request is null");
    }

    Optional<AccountName> account() {
        return request.origin().account();
    }

    /**
     * Returns the priority, one higher once the request has waited for half of its timeout. Retries
     * are not raised, since they would then rank before first attempts.
     */
    int effectivePriority(long nowNanos) {
        int priority = request.origin().priority();
        long timeout = request.deadlineNanos() - queuedNanos;
        boolean raised = !request.isRetry() && nowNanos - queuedNanos >= timeout / 2;
        return raised ? Math.max(0, priority - 1) : priority;
    }

    /** Returns the target latency of the time in the queue and at the instance. */
    Duration targetLatency() {
        return Duration.ofNanos(request.origin().targetNanos() - queuedNanos);
    }

    /** Returns whether the target latency is missed even if the request is served now. */
    boolean missesTarget(long nowNanos, Duration serviceTime) {
        return nowNanos + serviceTime.toNanos() - request.origin().targetNanos() > 0;
    }

    /** Returns whether the deadline is missed if the request is served after a time. */
    boolean missesDeadline(long nowNanos, Duration wait, Duration serviceTime) {
        return nowNanos + wait.plus(serviceTime).toNanos() - request.deadlineNanos() > 0;
    }
}
