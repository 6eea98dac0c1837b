package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.carobstage.runtime.Clock;
import org.carobstage.upstream.ConnectionAdmission.Capacity;

/** Grants connections of a service to requests: selects the instance, or queues the request. */
final class ConnectionDispatcher {
    private final Clock clock;
    private final InstancePools pools;
    private final Supplier<Optional<InstanceConnectionPool>> primaryPool;
    private final ConnectionAdmission admission;
    private final OpeningPlanner planner = new OpeningPlanner(this::rankedPools);
    private boolean dispatching;
    private boolean dispatchAgain;

    ConnectionDispatcher(
            Clock clock,
            InstancePools pools,
            Supplier<Optional<InstanceConnectionPool>> primaryPool,
            PrimaryRecoveryEstimate recoveryEstimate) {
        this.clock = requireNonNull(clock, "clock is null");
        this.pools = requireNonNull(pools, "pools is null");
        this.primaryPool = requireNonNull(primaryPool, "primaryPool is null");
        this.admission = new ConnectionAdmission(recoveryEstimate);
    }

    /** Requests a connection; the request is granted or rejected at once or later. */
    void request(ConnectionRequest request) {
        admission
                .admit(request, capacity(), clock.nanoTime())
                .ifPresentOrElse(request.onRejected(), this::dispatch);
    }

    void cancel(ConnectionRequest request) {
        admission.cancel(request);
    }

    /** Grants connections to the waiting requests, the earliest deadline first. */
    void dispatch() {
        dispatchAgain = true;
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            while (dispatchAgain) {
                dispatchAgain = false;
                admission.assignConnections(clock.nanoTime(), this::grant);
                planner.openConnections().forEach(this::rejectIfTooLate);
            }
        } finally {
            dispatching = false;
        }
    }

    /** Grants a connection that is new to the first request that can use it. */
    void offer(PoolEntry connection) {
        if (!dispatching && pools.quota().isElastic()) {
            dispatching = true;
            try {
                admission.assignConnections(
                        clock.nanoTime(), r -> pinIfNeeded(r, tryAcquireAt(connection.pool(), r)));
            } finally {
                dispatching = false;
            }
        }
        dispatch();
    }

    /** Rejects the waiting requests that cannot be served before their deadlines. */
    void rejectUnservable() {
        admission.rejectUnservable(capacity(), clock.nanoTime());
    }

    int waitingCount() {
        return admission.waitingCount();
    }

    private Optional<PooledConnection> grant(ConnectionRequest request) {
        return opensOnDemand(request) ? grantOnDemand(request) : grantWithinLimit(request);
    }

    private Optional<PooledConnection> tryAcquireAt(
            InstanceConnectionPool pool, ConnectionRequest request) {
        return acceptingPools(request).anyMatch(p -> p == pool)
                ? pool.tryAcquire(request)
                : Optional.empty();
    }

    private Optional<PooledConnection> grantWithinLimit(ConnectionRequest request) {
        List<InstanceConnectionPool> accepting =
                pools.rankByLatency(acceptingPools(request)).toList();
        Optional<PooledConnection> connection =
                accepting.stream()
                        .map(p -> p.tryAcquire(request))
                        .flatMap(Optional::stream)
                        .findFirst();
        if (connection.isEmpty()) {
            accepting.stream().findFirst().ifPresent(p -> p.openIfAllowed(Optional.empty()));
        }
        return pinIfNeeded(request, connection);
    }

    /**
     * Takes an idle connection only of the instance with the lowest expected latency, which
     * includes the opening of a connection, so that a loaded one is not preferred for being open.
     */
    private Optional<PooledConnection> grantOnDemand(ConnectionRequest request) {
        Optional<PooledConnection> connection =
                rankedPools(request)
                        .filter(p -> p.hasIdle(request) || p.canOpen(request.origin().account()))
                        .findFirst()
                        .flatMap(p -> p.tryAcquire(request));
        if (connection.isEmpty()) {
            planner.add(request);
        }
        return pinIfNeeded(request, connection);
    }

    private static Optional<PooledConnection> pinIfNeeded(
            ConnectionRequest request, Optional<PooledConnection> connection) {
        connection.filter(c -> request.pinsConnection()).ifPresent(PooledConnection::pin);
        return connection;
    }

    private boolean opensOnDemand(ConnectionRequest request) {
        return pools.quota().isElastic() || request.origin().account().isPresent();
    }

    private void rejectIfTooLate(ConnectionRequest request) {
        long remaining = request.deadlineNanos() - clock.nanoTime();
        usablePools(request)
                .filter(p -> !p.isSuspected())
                .map(p -> p.expectedWait(request))
                .min(Duration::compareTo)
                .filter(wait -> wait.toNanos() > remaining)
                .ifPresent(wait -> reject(request, wait));
    }

    private void reject(ConnectionRequest request, Duration wait) {
        if (admission.cancel(request)) {
            request.onRejected()
                    .accept("no connection is free, retry after " + wait.toMillis() + " ms");
        }
    }

    private Stream<InstanceConnectionPool> rankedPools(ConnectionRequest request) {
        return pools.rankByLatency(acceptingPools(request), request);
    }

    private Stream<InstanceConnectionPool> acceptingPools(ConnectionRequest request) {
        return usablePools(request).filter(p -> request.pinsConnection() || p.canAcceptStatement());
    }

    private Stream<InstanceConnectionPool> usablePools(ConnectionRequest request) {
        if (request.needsPrimary()) {
            return primaryPool.get().stream();
        }
        return pools.all().stream()
                .filter(p -> !request.excludedInstances().contains(p.entry().id()))
                .filter(p -> request.acceptsDraining() || !p.entry().draining());
    }

    private Capacity capacity() {
        return new Capacity(
                primaryPool.get().isPresent(), pools.statementLimit(), pools.serviceTime());
    }
}
