package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

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
        admission.assignConnections(clock.nanoTime(), this::grant);
    }

    /** Rejects the waiting requests that cannot be served before their deadlines. */
    void rejectUnservable() {
        admission.rejectUnservable(capacity(), clock.nanoTime());
    }

    int waitingCount() {
        return admission.waitingCount();
    }

    private Optional<PooledConnection> grant(ConnectionRequest request) {
        List<InstanceConnectionPool> accepting =
                pools.rankByLatency(usablePools(request))
                        .filter(p -> request.pinsConnection() || p.canAcceptStatement())
                        .toList();
        Optional<PooledConnection> connection =
                accepting.stream()
                        .map(p -> p.tryAcquire(request.sessionVariables()))
                        .flatMap(Optional::stream)
                        .findFirst();
        if (connection.isEmpty()) {
            accepting.stream().findFirst().ifPresent(InstanceConnectionPool::openIfAllowed);
        } else if (request.pinsConnection()) {
            connection.get().pin();
        }
        return connection;
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
