package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Requests that wait for a connection, the earliest deadline first. One that would not be served
 * before its deadline, at the rate at which the queue has been served, is not let in.
 */
final class ConnectionQueue {
    private final List<ConnectionRequest> waiting = new ArrayList<>();
    private final DrainRate primary = DrainRate.empty();
    private final DrainRate any = DrainRate.empty();
    private boolean offering;
    private boolean offerAgain;

    private ConnectionQueue() {}

    static ConnectionQueue empty() {
        return new ConnectionQueue();
    }

    /**
     * Adds a request if it can be served in time.
     *
     * @param request the request
     * @param now the monotonic time
     * @param service how long a statement takes once it has a connection
     * @return the wait that it would have, if that is too long
     */
    Optional<Duration> tryAdd(ConnectionRequest request, long now, Duration service) {
        int at = waiting.size();
        while (at > 0 && waiting.get(at - 1).deadlineNanos() - request.deadlineNanos() > 0) {
            at--;
        }
        int ahead =
                (int)
                        waiting.subList(0, at).stream()
                                .filter(r -> r.needsPrimary() == request.needsPrimary())
                                .count();
        Duration wait = rate(request).expectedWait(ahead);
        if (ahead > 0 && now + wait.plus(service).toNanos() - request.deadlineNanos() > 0) {
            return Optional.of(wait);
        }
        waiting.add(at, request);
        return Optional.empty();
    }

    int size() {
        return waiting.size();
    }

    /** Estimates how long a request would wait behind all that wait now. */
    Duration expectedWait(ConnectionRequest request) {
        return rate(request).expectedWait(count(request.needsPrimary()));
    }

    /** Takes the requests that match out of the queue. */
    List<ConnectionRequest> removeMatching(Predicate<ConnectionRequest> matches) {
        List<ConnectionRequest> removed = waiting.stream().filter(matches).toList();
        waiting.removeAll(removed);
        return removed;
    }

    /**
     * Offers each request a connection. A connection that becomes free meanwhile is offered in a
     * further round, since the receivers of connections call back.
     */
    void assignConnections(
            long now, Function<ConnectionRequest, Optional<PooledConnection>> connections) {
        requireNonNull(connections, "connections is null");
        offerAgain = true;
        if (offering) {
            return;
        }
        offering = true;
        try {
            while (offerAgain) {
                offerAgain = false;
                List.copyOf(waiting).forEach(r -> offer(r, now, connections));
            }
        } finally {
            offering = false;
        }
    }

    private void offer(
            ConnectionRequest request,
            long now,
            Function<ConnectionRequest, Optional<PooledConnection>> connections) {
        if (!waiting.contains(request)) {
            return;
        }
        connections
                .apply(request)
                .ifPresent(
                        connection -> {
                            waiting.remove(request);
                            rate(request).recordGrant(now, count(request.needsPrimary()) > 0);
                            request.onGranted().accept(connection);
                        });
    }

    private DrainRate rate(ConnectionRequest request) {
        return request.needsPrimary() ? primary : any;
    }

    private int count(boolean needsPrimary) {
        return (int) waiting.stream().filter(r -> r.needsPrimary() == needsPrimary).count();
    }
}
