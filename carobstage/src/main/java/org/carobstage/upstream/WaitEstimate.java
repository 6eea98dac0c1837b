package org.carobstage.upstream;

import java.time.Duration;
import java.util.List;

/**
 * Estimates when a connection to an instance can serve a request.
 *
 * @param share the connections that this process may use
 * @param openingTime the average time of an opening
 * @param latency the average time of a statement
 * @param pinTime the average time of a transaction
 */
record WaitEstimate(
        ConnectionShare share, Duration openingTime, Duration latency, Duration pinTime) {
    /**
     * Estimates the wait of a request.
     *
     * @param request the request
     * @param connections the open connections
     * @param openings the connections that are being opened
     * @param nowNanos the current monotonic time in ns
     * @return the time until a connection of the request's account is free
     */
    Duration expectedWait(
            ConnectionRequest request,
            ConnectionSet connections,
            List<Opening> openings,
            long nowNanos) {
        boolean canOpen =
                connections.size() + openings.size() < share.limit()
                        || connections.idle().findFirst().isPresent();
        Duration opening = openingTime.plus(share.backoff(nowNanos));
        if (!openings.isEmpty()) {
            return openingTime;
        }
        Duration afterRelease =
                connections
                        .all()
                        .map(
                                c ->
                                        serves(c, request)
                                                ? remaining(c, nowNanos)
                                                : longer(remaining(c, nowNanos), opening))
                        .min(Duration::compareTo)
                        .orElse(opening);
        return canOpen && opening.compareTo(afterRelease) < 0 ? opening : afterRelease;
    }

    private static boolean serves(PoolEntry connection, ConnectionRequest request) {
        return request.acceptsAnyAccount()
                || connection.account().equals(request.origin().account());
    }

    /**
     * Estimates when a connection is released. A transaction that has already lasted longer than
     * the average is idle and expected to last as long again.
     */
    private Duration remaining(PoolEntry connection, long nowNanos) {
        if (!connection.isBusy()) {
            return Duration.ZERO;
        }
        if (!connection.isPinned()) {
            return latency;
        }
        Duration held = Duration.ofNanos(nowNanos - connection.busySinceNanos());
        return longer(held, pinTime.minus(held));
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
