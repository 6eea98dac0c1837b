package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The requests that wait for a connection, ordered by deadline. A request that would miss its
 * deadline at the recent drain rate is not added.
 */
final class ConnectionQueue {
    private final List<ConnectionRequest> waiting = new ArrayList<>();
    private final DrainRate primaryRate = DrainRate.empty();
    private final DrainRate anyInstanceRate = DrainRate.empty();
    private boolean assigning;
    private boolean assignAgain;

    private ConnectionQueue() {}

    static ConnectionQueue empty() {
        return new ConnectionQueue();
    }

    /**
     * Adds a request if it is expected to be served before its deadline.
     *
     * @param request the request
     * @param nowNanos the current monotonic time in ns
     * @param serviceTime how long a statement takes once it has a connection
     * @return the expected wait if it is too long, or empty if the request was added
     */
    Optional<Duration> tryAdd(ConnectionRequest request, long nowNanos, Duration serviceTime) {
        int index = waiting.size();
        while (index > 0 && waiting.get(index - 1).deadlineNanos() - request.deadlineNanos() > 0) {
            index--;
        }
        int ahead =
                (int)
                        waiting.subList(0, index).stream()
                                .filter(r -> r.needsPrimary() == request.needsPrimary())
                                .count();
        Duration wait = rate(request).expectedWait(ahead);
        if (ahead > 0
                && nowNanos + wait.plus(serviceTime).toNanos() - request.deadlineNanos() > 0) {
            return Optional.of(wait);
        }
        waiting.add(index, request);
        return Optional.empty();
    }

    int size() {
        return waiting.size();
    }

    /** Estimates how long a new request would wait behind the queued ones. */
    Duration expectedWait(ConnectionRequest request) {
        return rate(request).expectedWait(count(request.needsPrimary()));
    }

    /** Removes and returns the matching requests. */
    List<ConnectionRequest> removeMatching(Predicate<ConnectionRequest> predicate) {
        List<ConnectionRequest> removed = waiting.stream().filter(predicate).toList();
        waiting.removeAll(removed);
        return removed;
    }

    /**
     * Assigns connections to the queued requests. A callback that receives a connection may call
     * this method again; that call starts a further round instead of recursing.
     */
    void assignConnections(long nowNanos, ConnectionSource connections) {
        requireNonNull(connections, "connections is null");
        assignAgain = true;
        if (assigning) {
            return;
        }
        assigning = true;
        try {
            while (assignAgain) {
                assignAgain = false;
                List.copyOf(waiting).forEach(r -> assign(r, nowNanos, connections));
            }
        } finally {
            assigning = false;
        }
    }

    private void assign(ConnectionRequest request, long nowNanos, ConnectionSource connections) {
        if (connections.isExhausted(request) || !waiting.contains(request)) {
            return;
        }
        connections
                .tryGrant(request)
                .ifPresent(
                        connection -> {
                            waiting.remove(request);
                            rate(request).recordGrant(nowNanos, count(request.needsPrimary()) > 0);
                            connection.grantTo(request);
                        });
    }

    private DrainRate rate(ConnectionRequest request) {
        return request.needsPrimary() ? primaryRate : anyInstanceRate;
    }

    private int count(boolean needsPrimary) {
        return (int) waiting.stream().filter(r -> r.needsPrimary() == needsPrimary).count();
    }
}
