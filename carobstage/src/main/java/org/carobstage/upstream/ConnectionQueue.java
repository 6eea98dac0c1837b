package org.carobstage.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/** Requests that wait for a connection, the earliest deadline first. */
final class ConnectionQueue {
    private final List<ConnectionRequest> waiting = new ArrayList<>();
    private boolean offering;
    private boolean offerAgain;

    private ConnectionQueue() {}

    static ConnectionQueue empty() {
        return new ConnectionQueue();
    }

    void add(ConnectionRequest request) {
        int at = waiting.size();
        while (at > 0 && waiting.get(at - 1).deadlineNanos() - request.deadlineNanos() > 0) {
            at--;
        }
        waiting.add(at, request);
    }

    int size() {
        return waiting.size();
    }

    /** Takes the requests that match out of the queue. */
    List<ConnectionRequest> remove(Predicate<ConnectionRequest> matches) {
        List<ConnectionRequest> removed = waiting.stream().filter(matches).toList();
        waiting.removeAll(removed);
        return removed;
    }

    /**
     * Offers each request a connection. A connection that becomes free meanwhile is offered in a
     * further round, since the receivers of connections call back.
     */
    void offerAll(Function<ConnectionRequest, Optional<PooledConnection>> connections) {
        offerAgain = true;
        if (offering) {
            return;
        }
        offering = true;
        try {
            while (offerAgain) {
                offerAgain = false;
                List.copyOf(waiting).forEach(r -> offer(r, connections));
            }
        } finally {
            offering = false;
        }
    }

    private void offer(
            ConnectionRequest request,
            Function<ConnectionRequest, Optional<PooledConnection>> connections) {
        if (!waiting.contains(request)) {
            return;
        }
        connections
                .apply(request)
                .ifPresent(
                        connection -> {
                            waiting.remove(request);
                            request.granted().accept(connection);
                        });
    }
}
