package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.carobstage.model.ServiceName;
import org.carobstage.runtime.Clock;
import org.carobstage.upstream.ConnectionAdmission.Capacity;

/** Grants connections of a service to requests: selects the instance, or queues the request. */
final class ConnectionDispatcher {
    private final Clock clock;
    private final InstancePools pools;
    private final Supplier<Optional<InstanceConnectionPool>> primaryPool;
    private final AdmissionController admission;
    private final DispatchControl control;
    private final ConnectionSource source = new RoundSource();
    private final ExhaustedPurposes exhausted = ExhaustedPurposes.none();
    private final OpeningPlanner planner = new OpeningPlanner(this::rankedPools);
    private boolean dispatching;
    private boolean dispatchAgain;
    private boolean roundHadReservation;

    ConnectionDispatcher(
            UpstreamContext context,
            ServiceName service,
            InstancePools pools,
            Supplier<Optional<InstanceConnectionPool>> primaryPool,
            PrimaryRecoveryEstimate recoveryEstimate) {
        this.clock = context.clock();
        this.pools = requireNonNull(pools, "pools is null");
        this.primaryPool = requireNonNull(primaryPool, "primaryPool is null");
        if (context.admissionOrder() == AdmissionOrder.PRIORITY) {
            ServedRequests served = ServedRequests.empty();
            AdmissionMonitor monitor = new AdmissionMonitor(context, service);
            PriorityAdmission byPriority =
                    new PriorityAdmission(recoveryEstimate, served, context.jitter(), monitor);
            this.admission = byPriority;
            this.control = new PriorityDispatch(clock, byPriority, served, monitor);
        } else {
            this.admission = new ConnectionAdmission(recoveryEstimate);
            this.control = DispatchControl.unlimited();
        }
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

    /** Grants connections to the waiting requests in their order. */
    void dispatch() {
        dispatchAgain = true;
        if (dispatching) {
            return;
        }
        dispatching = true;
        boolean mayRepeat = true;
        try {
            while (dispatchAgain) {
                dispatchAgain = false;
                roundHadReservation = false;
                exhausted.clear();
                admission.assignConnections(clock.nanoTime(), source);
                planner.openConnections().forEach(this::rejectIfTooLate);
                // Once connections are being opened, the remaining idle ones are free again.
                dispatchAgain |= roundHadReservation && mayRepeat;
                mayRepeat &= !roundHadReservation;
                primaryPool.get().ifPresent(control::freeConnection);
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
                        clock.nanoTime(), r -> recordGrant(r, tryAcquireAt(connection.pool(), r)));
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
            accepting.stream()
                    .findFirst()
                    .ifPresent(
                            p ->
                                    p.openIfAllowed(
                                            Optional.empty(), OpeningCause.of(request.purpose())));
            if (accepting.stream().findFirst().filter(p -> p.canOpen(Optional.empty())).isEmpty()) {
                exhausted.add(request);
            }
        }
        return recordGrant(request, connection);
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
                        .filter(p -> !isReserved(p, request))
                        .flatMap(p -> p.tryAcquire(request));
        if (connection.isEmpty()) {
            planner.add(request);
        }
        return recordGrant(request, connection);
    }

    private Optional<PooledConnection> recordGrant(
            ConnectionRequest request, Optional<PooledConnection> connection) {
        connection.filter(c -> request.pinsConnection()).ifPresent(PooledConnection::pin);
        connection.ifPresent(
                c -> {
                    planner.remove(request);
                    control.onGranted(request, c);
                });
        return connection;
    }

    private boolean opensOnDemand(ConnectionRequest request) {
        return pools.quota().isElastic() || request.origin().account().isPresent();
    }

    private void rejectIfTooLate(ConnectionRequest request) {
        if (request.needsPrimary() && mayFreeConnection(request)) {
            return;
        }
        long remaining = request.deadlineNanos() - clock.nanoTime();
        usablePools(request)
                .filter(p -> !p.isSuspected())
                .map(p -> p.expectedWait(request))
                .min(Duration::compareTo)
                .filter(wait -> wait.toNanos() > remaining)
                .ifPresent(wait -> reject(request, wait));
    }

    /** In the order by priority, a request takes no connection that a better ranked one needs. */
    private boolean isReserved(InstanceConnectionPool pool, ConnectionRequest request) {
        boolean reserved = control.reservesForOpening() && planner.isReserved(pool, request);
        roundHadReservation |= reserved;
        return reserved;
    }

    private boolean mayFreeConnection(ConnectionRequest request) {
        return primaryPool
                .get()
                .filter(p -> control.mayFreeConnection(p, request.deadlineNanos()))
                .isPresent();
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
        return usablePools(request)
                .filter(p -> request.pinsConnection() || p.canAcceptStatement())
                .filter(p -> control.mayUse(request, p));
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

    private final class RoundSource implements ConnectionSource {
        @Override
        public Optional<PooledConnection> tryGrant(ConnectionRequest request) {
            return grant(request);
        }

        @Override
        public boolean isExhausted(ConnectionRequest request) {
            return exhausted.contains(request);
        }
    }
}
