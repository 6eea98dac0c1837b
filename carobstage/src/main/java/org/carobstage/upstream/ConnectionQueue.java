package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Requests that wait for a connection, the earliest deadline first. A queue that has not been empty
 * for a while serves no more for being long, it only makes every answer late; then requests are
 * refused that can't be served within their latency objective, otherwise those that can't be served
 * before their deadline.
 */
final class ConnectionQueue {
    /** A rush that is over sooner is served late rather than refused. */
    private static final Duration STANDING = Duration.ofMillis(500);

    /** The part of the objective that a new request may be expected to take; estimates err. */
    private static final double PART_TO_PLAN = 0.75;

    private final List<ConnectionRequest> waiting = new ArrayList<>();
    private final Line primary = new Line();
    private final Line any = new Line();
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
    Optional<Duration> add(ConnectionRequest request, long now, Duration service) {
        Line line = line(request);
        if (count(request.needsPrimary()) == 0) {
            line.emptyNanos = now;
        }
        int at = waiting.size();
        while (at > 0 && waiting.get(at - 1).deadlineNanos() - request.deadlineNanos() > 0) {
            at--;
        }
        int ahead =
                (int)
                        waiting.subList(0, at).stream()
                                .filter(r -> r.needsPrimary() == request.needsPrimary())
                                .count();
        Duration wait = line.rate.expectedWait(ahead);
        if (ahead > 0 && now + wait.plus(service).toNanos() - limit(request, now) > 0) {
            return Optional.of(wait);
        }
        waiting.add(at, request);
        return Optional.empty();
    }

    int size() {
        return waiting.size();
    }

    /** Notes that nobody can be served now, so that the length of the queue says nothing. */
    void primaryAbsent(long now) {
        primary.emptyNanos = now;
    }

    /** Takes the requests that match out of the queue. */
    List<ConnectionRequest> remove(Predicate<ConnectionRequest> matches) {
        List<ConnectionRequest> removed = waiting.stream().filter(matches).toList();
        waiting.removeAll(removed);
        return removed;
    }

    /** Takes the requests out of the queue that are too late for their objective. */
    List<ConnectionRequest> removeLate(long now, Duration service) {
        return remove(r -> isStanding(r, now) && now + service.toNanos() - r.targetNanos() > 0);
    }

    /**
     * Offers each request a connection. A connection that becomes free meanwhile is offered in a
     * further round, since the receivers of connections call back.
     */
    void offerAll(long now, Function<ConnectionRequest, Optional<PooledConnection>> connections) {
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
                            int others = count(request.needsPrimary());
                            Line line = line(request);
                            line.rate.granted(now, others > 0);
                            if (others == 0) {
                                line.emptyNanos = now;
                            }
                            request.granted().accept(connection);
                        });
    }

    private long limit(ConnectionRequest request, long now) {
        if (!isStanding(request, now)) {
            return request.deadlineNanos();
        }
        long left = Math.max(0, request.targetNanos() - now);
        return now + (long) (PART_TO_PLAN * left);
    }

    private boolean isStanding(ConnectionRequest request, long now) {
        return now - line(request).emptyNanos >= STANDING.toNanos();
    }

    private Line line(ConnectionRequest request) {
        return request.needsPrimary() ? primary : any;
    }

    private int count(boolean needsPrimary) {
        return (int) waiting.stream().filter(r -> r.needsPrimary() == needsPrimary).count();
    }

    /** The requests that wait for the same instances. */
    private static final class Line {
        private final DrainRate rate = DrainRate.empty();
        private long emptyNanos;
    }
}
