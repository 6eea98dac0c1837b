package org.carobstage.pool;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.carobstage.admission.AdmissionQueue;
import org.carobstage.admission.InstanceLoad;
import org.carobstage.admission.Rejection;
import org.carobstage.admission.ServiceTime;
import org.carobstage.admission.SlotRequest;
import org.carobstage.backend.Backend;
import org.carobstage.backend.BackendConnection;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.model.ServiceName;
import org.carobstage.runtime.Clock;

/**
 * The slots and connections of one instance that this process may use. A slot is held while a
 * statement runs, a connection also between the statements of a transaction. All methods run on the
 * pool's executor.
 */
public final class InstancePool implements AutoCloseable {
    private static final int MAX_WAITING = 1_024;
    private static final int SPARE_CONNECTIONS = 1;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration COOLDOWN = Duration.ofMillis(1_000);

    private final Backend backend;
    private final Supplier<Quota> quota;
    private final PoolContext context;
    private final Clock clock;
    private final InstanceConnections connections;
    private final AdmissionQueue<Waiter> waiting = AdmissionQueue.of(MAX_WAITING);
    private final AdmissionQueue<Waiter> reacquiring = AdmissionQueue.of(MAX_WAITING);
    private final Set<LeasedConnection> running = new LinkedHashSet<>();
    private final AdaptiveTimeout timeout = AdaptiveTimeout.empty();
    private ServiceTime serviceTime = ServiceTime.empty();
    private long lastRejectionNanos;
    private long rejectionCount;
    private boolean dispatching;
    private boolean closed;

    private InstancePool(Backend backend, Supplier<Quota> quota, PoolContext context) {
        this.backend = backend;
        this.quota = quota;
        this.context = context;
        this.clock = context.clock();
        this.connections = new InstanceConnections(backend, context, this::dispatch);
    }

    /**
     * Creates a pool and starts to open its spare connections.
     *
     * @param backend the instance
     * @param quota supplies this process's share of the instance's limits, read at each decision
     * @param context the context of the pool
     * @return the pool
     */
    public static InstancePool of(Backend backend, Supplier<Quota> quota, PoolContext context) {
        requireNonNull(backend, "backend is null");
        requireNonNull(quota, "quota is null");
        requireNonNull(context, "context is null");
        InstancePool pool = new InstancePool(backend, quota, context);
        context.executor().execute(pool::tick);
        return pool;
    }

    /**
     * Requests a slot together with a connection. The request is rejected as soon as the statement
     * is not expected to complete within the patience.
     *
     * @param service the service that the statement belongs to
     * @param patience how long the caller waits for the statement to complete
     * @return the connection, or a rejection; the stage never completes exceptionally
     */
    public CompletionStage<AcquireResult> acquire(ServiceName service, Duration patience) {
        requireNonNull(service, "service is null");
        return admit(waiting, new Waiter(service, Optional.empty(), clock.nanoTime()), patience);
    }

    /**
     * Releases the slot and keeps the connection, between the statements of a transaction.
     *
     * @param connection the connection
     */
    public void releaseSlot(BackendConnection connection) {
        LeasedConnection lease = (LeasedConnection) connection;
        if (running.remove(lease)) {
            lease.markSlotReleased();
            recordServiceTime(lease);
            dispatch();
        }
    }

    /**
     * Requests a slot for a connection whose slot was released; such requests come before those
     * without a connection.
     *
     * @param connection the connection
     * @param patience how long the caller waits for the statement to complete
     * @return the connection, or a rejection, after which the connection still has no slot
     */
    public CompletionStage<AcquireResult> reacquireSlot(
            BackendConnection connection, Duration patience) {
        LeasedConnection lease = (LeasedConnection) connection;
        Waiter waiter = new Waiter(lease.service(), Optional.of(lease), clock.nanoTime());
        return admit(reacquiring, waiter, patience);
    }

    /**
     * Releases a connection and its slot; a second call has no effect.
     *
     * @param connection the connection
     * @param clean true if its state is known to be clean; otherwise it is closed
     */
    public void release(BackendConnection connection, boolean clean) {
        LeasedConnection lease = (LeasedConnection) connection;
        if (!lease.tryRelease()) {
            return;
        }
        running.remove(lease);
        if (clean && !lease.isSlotReleased()) {
            recordServiceTime(lease);
        }
        int limit = quota.get().connections();
        connections.release(lease.poolEntry(), clean, lease.grantedNanos(), limit);
        dispatch();
    }

    /**
     * Returns this process's share of the instance's limits.
     *
     * @return the current quota
     */
    public Quota quota() {
        return quota.get();
    }

    /**
     * Returns how many statements run or wait, which serves as the cost of routing another one
     * here.
     *
     * @return the number of statements
     */
    public long outstandingCount() {
        return running.size() + (long) waiting.size() + reacquiring.size();
    }

    /**
     * Returns the slots and connections in use, which may exceed the quota for a while after it has
     * been lowered.
     *
     * @return the usage
     */
    public Quota usage() {
        return new Quota(running.size(), connections.openCount());
    }

    /**
     * Returns the timeout for a request that may also be sent to another instance.
     *
     * @return the timeout, which adapts to the recent latencies
     */
    public Duration requestTimeout() {
        return timeout.value();
    }

    @Override
    public void close() {
        closed = true;
        List<Waiter> pending = new ArrayList<>();
        Optional<SlotRequest<Waiter>> next = waiting.poll().or(reacquiring::poll);
        while (next.isPresent()) {
            pending.add(next.get().payload());
            next = waiting.poll().or(reacquiring::poll);
        }
        pending.forEach(w -> reject(w, AcquireResult.Status.UNREACHABLE, COOLDOWN));
        connections.close();
    }

    private CompletionStage<AcquireResult> admit(
            AdmissionQueue<Waiter> queue, Waiter waiter, Duration patience) {
        long nowNanos = clock.nanoTime();
        if (closed || isUnavailable()) {
            reject(waiter, AcquireResult.Status.UNREACHABLE, COOLDOWN);
            return waiter.result();
        }
        SlotRequest<Waiter> request =
                new SlotRequest<>(waiter.service(), nowNanos + patience.toNanos(), waiter);
        reject(queue.offer(request, currentLoad(nowNanos), nowNanos));
        dispatch();
        boolean isWaiting = !waiter.result().isDone();
        if (isWaiting) {
            Clock.Timer timer =
                    clock.schedule(() -> context.executor().execute(this::dispatch), patience);
            waiter.result().whenComplete((result, error) -> timer.cancel());
        }
        return waiter.result();
    }

    private void dispatch() {
        if (dispatching || closed) {
            return;
        }
        dispatching = true;
        grantSlots();
        rejectUnservable();
        Quota limits = quota.get();
        int freeSlots = Math.max(0, limits.slots() - running.size());
        int spare = Math.max(1, limits.slots()) + SPARE_CONNECTIONS - connections.leasedCount();
        int wanted = Math.max(spare, Math.min(waiting.size(), freeSlots));
        connections.resize(wanted, limits.connections());
        dispatching = false;
        context.metrics()
                .updateGauges(
                        connections.openCount(),
                        running.size(),
                        waiting.size() + reacquiring.size());
    }

    private void grantSlots() {
        while (running.size() < quota.get().slots()) {
            Optional<SlotRequest<Waiter>> next = reacquiring.poll();
            if (next.isPresent()) {
                reacquireSlot(next.get());
                continue;
            }
            if (waiting.size() == 0) {
                return;
            }
            Optional<PoolEntry> entry = connections.tryAcquire();
            if (entry.isEmpty()) {
                return;
            }
            SlotRequest<Waiter> request = waiting.poll().get();
            grant(request, new LeasedConnection(entry.get(), request.service(), context));
        }
    }

    private void reacquireSlot(SlotRequest<Waiter> request) {
        Waiter waiter = request.payload();
        LeasedConnection lease = waiter.lease().get();
        if (lease.isReleased()) {
            reject(waiter, AcquireResult.Status.UNREACHABLE, COOLDOWN);
        } else {
            lease.markSlotReacquired();
            grant(request, lease);
        }
    }

    private void grant(SlotRequest<Waiter> request, LeasedConnection lease) {
        Waiter waiter = request.payload();
        running.add(lease);
        context.metrics().recordWait(clock.nanoTime() - waiter.requestedNanos());
        if (!waiter.result().complete(AcquireResult.granted(lease))) {
            release(lease, true);
        }
    }

    private void rejectUnservable() {
        long nowNanos = clock.nanoTime();
        while (isUnavailable() && waiting.size() > 0) {
            reject(waiting.poll().get().payload(), AcquireResult.Status.UNREACHABLE, COOLDOWN);
        }
        reject(waiting.rejectUnservable(currentLoad(nowNanos), nowNanos));
        reject(reacquiring.rejectUnservable(currentLoad(nowNanos), nowNanos));
    }

    /** Returns whether currently no statement can run at the instance, whatever its patience. */
    private boolean isUnavailable() {
        return quota.get().slots() == 0 || connections.isUnreachable();
    }

    private void reject(List<Rejection<Waiter>> rejections) {
        rejections.forEach(this::reject);
    }

    private void reject(Rejection<Waiter> rejection) {
        long nowNanos = clock.nanoTime();
        boolean isFirst = rejectionCount == 0;
        rejectionCount++;
        lastRejectionNanos = nowNanos;
        if (isFirst) {
            record(
                    EventCode.OVERLOAD_STARTED,
                    outstandingCount() + " statements are running or waiting");
        }
        reject(
                rejection.slotRequest().payload(),
                AcquireResult.Status.OVERLOADED,
                rejection.retryAfter());
    }

    private void reject(Waiter waiter, AcquireResult.Status status, Duration retryAfter) {
        context.metrics().recordRejection();
        waiter.result().complete(AcquireResult.rejected(status, retryAfter));
    }

    private void tick() {
        if (closed) {
            return;
        }
        long nowNanos = clock.nanoTime();
        if (rejectionCount > 0 && nowNanos - lastRejectionNanos >= COOLDOWN.toNanos()) {
            record(EventCode.OVERLOAD_ENDED, rejectionCount + " statements were rejected");
            rejectionCount = 0;
        }
        connections.pingStale();
        dispatch();
        clock.schedule(() -> context.executor().execute(this::tick), TICK_INTERVAL);
    }

    private InstanceLoad currentLoad(long nowNanos) {
        long serviceNanos = serviceTime.averageNanos();
        long remainingNanos =
                running.stream()
                        .mapToLong(lease -> serviceNanos - (nowNanos - lease.grantedNanos()))
                        .filter(nanos -> nanos > 0)
                        .sum();
        return new InstanceLoad(quota.get().slots(), running.size(), remainingNanos, serviceNanos);
    }

    private void recordServiceTime(LeasedConnection lease) {
        long heldNanos = clock.nanoTime() - lease.grantedNanos();
        serviceTime = serviceTime.withSample(heldNanos);
        timeout.recordLatency(heldNanos);
    }

    private void record(EventCode code, String detail) {
        EventScope scope = EventScope.of(context.group());
        context.events().record(code, scope, "instance " + backend.spec().id() + ": " + detail);
    }

    /** A waiting request, with its connection if it has one. */
    private record Waiter(
            ServiceName service,
            Optional<LeasedConnection> lease,
            long requestedNanos,
            CompletableFuture<AcquireResult> result) {
        private Waiter(ServiceName service, Optional<LeasedConnection> lease, long requestedNanos) {
            this(service, lease, requestedNanos, new CompletableFuture<>());
        }
    }
}
