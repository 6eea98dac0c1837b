package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobstage.model.InstanceId;
import org.carobstage.runtime.Clock;
import org.carobstage.sql.FailureCode;
import org.carobstage.upstream.IdleTransactionPreemption.Pins;

/**
 * Holds back requests of low priority at instances with a queueing delay, and keeps transactions
 * from holding all connections to the primary while requests wait.
 */
final class PriorityDispatch implements DispatchControl {
    private final Clock clock;
    private final PriorityAdmission admission;
    private final ServedRequests served;
    private final AdmissionMonitor monitor;
    private final Map<InstanceId, QueueingDelay> delays = new HashMap<>();
    private final Set<PoolEntry> preempted = new HashSet<>();

    PriorityDispatch(
            Clock clock,
            PriorityAdmission admission,
            ServedRequests served,
            AdmissionMonitor monitor) {
        this.admission = requireNonNull(admission, "admission is null");
        this.clock = requireNonNull(clock, "clock is null");
        this.served = requireNonNull(served, "served is null");
        this.monitor = requireNonNull(monitor, "monitor is null");
    }

    @Override
    public boolean mayUse(ConnectionRequest request, InstanceConnectionPool pool) {
        return admission
                .find(request)
                .filter(w -> !isHeldBack(w, pool) && !isReserved(w.request(), pool))
                .isPresent();
    }

    @Override
    public void freeConnection(InstanceConnectionPool primary) {
        preempted.removeIf(c -> !c.isOpen() || !c.isPinned());
        ConnectionUsage usage = primary.connectionUsage();
        List<WaitingRequest> waiting =
                admission.waiting().stream().filter(w -> w.request().needsPrimary()).toList();
        long nowNanos = clock.nanoTime();
        IdleTransactionPreemption.select(
                        usage.idleTransactions(),
                        waiting,
                        new Pins(usage.limit(), usage.pinned().size(), preempted.size()),
                        nowNanos,
                        primary.averageLatency())
                .ifPresent(t -> preempt(t, usage.pinned(), nowNanos));
    }

    @Override
    public boolean mayFreeConnection(InstanceConnectionPool primary, long deadlineNanos) {
        return IdleTransactionPreemption.mayOccurBefore(
                deadlineNanos, primary.connectionUsage().idleTransactions());
    }

    @Override
    public boolean reservesForOpening() {
        return true;
    }

    private boolean isHeldBack(WaitingRequest waiting, InstanceConnectionPool pool) {
        long nowNanos = clock.nanoTime();
        InstanceId instance = pool.entry().id();
        QueueingDelay delay = delayAt(instance);
        boolean maySend =
                DispatchPolicy.maySend(
                        waiting.effectivePriority(nowNanos),
                        waiting.targetLatency(),
                        delay.toLoad(served.statementCount(instance), nowNanos));
        if (!maySend) {
            monitor.recordHeldBack(waiting.request(), pool, delay.estimate(nowNanos));
        }
        return !maySend;
    }

    @Override
    public void onGranted(ConnectionRequest request, PooledConnection connection) {
        QueueingDelay delay = delayAt(connection.instance().id());
        int priority = request.origin().priority();
        connection.observeResults(
                (result, latency) -> {
                    if (result.isSuccessful()) {
                        delay.record(priority, latency, clock.nanoTime());
                    } else if (result.hasFailureCode(FailureCode.BUSY)) {
                        delay.recordRefusal(clock.nanoTime());
                    }
                });
    }

    private boolean isReserved(ConnectionRequest request, InstanceConnectionPool pool) {
        if (!request.needsPrimary() || !request.pinsConnection()) {
            return false;
        }
        boolean statementsWaiting =
                admission.waiting().stream()
                        .map(WaitingRequest::request)
                        .anyMatch(r -> r.needsPrimary() && !r.pinsConnection());
        ConnectionUsage usage = pool.connectionUsage();
        boolean allowed =
                TransactionBulkhead.allowsTransaction(
                        usage.limit(), usage.pinned().size(), statementsWaiting);
        if (!allowed) {
            monitor.recordReserved(request, pool);
        }
        return !allowed;
    }

    private void preempt(IdleTransaction transaction, List<PoolEntry> pinned, long nowNanos) {
        pinned.stream()
                .filter(c -> c.idleTransaction().filter(t -> t == transaction).isPresent())
                .forEach(
                        c -> {
                            preempted.add(c);
                            monitor.recordPreempted(
                                    c, Duration.ofNanos(nowNanos - transaction.sinceNanos()));
                            transaction.rollback().run();
                        });
    }

    private QueueingDelay delayAt(InstanceId instance) {
        return delays.computeIfAbsent(instance, i -> QueueingDelay.empty());
    }
}
