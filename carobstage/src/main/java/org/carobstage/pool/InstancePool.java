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
 * duty of the group.
 */
public final class InstancePool implements AutoCloseable {
    private static final int MAX_WAITING = 1_024;
    private static final int SPARE_CONNECTIONS = 1;
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration CALM = Duration.ofMillis(1_000);

    private final Backend backend;
    private final Supplier<Quota> quota;
    private final PoolContext runtime;
    private final Clock clock;
    private final InstanceConnections connections;
    private final AdmissionQueue<Waiter> waiting = AdmissionQueue.of(MAX_WAITING);
    private final AdmissionQueue<Waiter> resuming = AdmissionQueue.of(MAX_WAITING);
    private final Set<LeasedConnection> running = new LinkedHashSet<>();
    private final AdaptiveTimeout timeout = AdaptiveTimeout.empty();
    private ServiceTime serviceTime = ServiceTime.empty();
    private long lastRefusalNanos;
    private long refusals;
    private boolean serving;
    private boolean closed;

    private InstancePool(Backend backend, Supplier<Quota> share, PoolContext runtime) {
        this.backend = backend;
        this.quota = share;
        this.runtime = runtime;
        this.clock = runtime.clock();
        this.connections = new InstanceConnections(backend, runtime, this::serve);
    }

    /**
     * Creates a pool, which at once starts to open its spare connections.
     *
     * @param backend the instance
     * @param share this process's part of the instance's limits, asked each time
     * @param runtime what the pool needs of the process
     * @return the pool
     */
    public static InstancePool of(Backend backend, Supplier<Quota> share, PoolContext runtime) {
        requireNonNull(backend, "backend is null");
        requireNonNull(share, "share is null");
        requireNonNull(runtime, "runtime is null");
        InstancePool pool = new InstancePool(backend, share, runtime);
        runtime.executor().execute(pool::tick);
        return pool;
    }

    /**
     * Asks for a slot together with a connection. The request is refused as soon as it is not
     * expected to run within the patience.
     *
     * @param service the service that the statement belongs to
     * @param patience how long the caller waits for the statement's end
     * @return the connection, or a refusal; the stage never fails
     */
    public CompletionStage<AcquireResult> acquire(ServiceName service, Duration patience) {
        requireNonNull(service, "service is null");
        return admit(waiting, new Waiter(service, Optional.empty(), clock.nanoTime()), patience);
    }

    /**
     * Gives the slot back and keeps the connection, between the statements of a transaction.
     *
     * @param connection the connection
     */
    public void releaseSlot(BackendConnection connection) {
        LeasedConnection lease = (LeasedConnection) connection;
        if (running.remove(lease)) {
            lease.pause();
            measure(lease);
            serve();
        }
    }

    /**
     * Asks for a slot for a paused connection; such requests come before those without one.
     *
     * @param connection the connection
     * @param patience how long the caller waits for the statement's end
     * @return the connection, or a refusal, after which the connection is still paused
     */
    public CompletionStage<AcquireResult> reacquireSlot(
            BackendConnection connection, Duration patience) {
        LeasedConnection lease = (LeasedConnection) connection;
        Waiter waiter = new Waiter(lease.service(), Optional.of(lease), clock.nanoTime());
        return admit(resuming, waiter, patience);
    }

    /**
     * Gives a connection and its slot back; a second call changes nothing.
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
        if (clean && !lease.isPaused()) {
            measure(lease);
        }
        int limit = quota.get().connections();
        connections.release(lease.poolEntry(), clean, lease.grantedNanos(), limit);
        serve();
    }

    /**
     * Returns this process's part of the instance's limits.
     *
     * @return the share at this moment
     */
    public Quota quota() {
        return quota.get();
    }

    /**
     * Returns how much work is here, as the cost of one more statement.
     *
     * @return the number of statements that run or wait
     */
    public long outstandingCount() {
        return running.size() + (long) waiting.size() + resuming.size();
    }

    /**
     * Returns what is in use now, which after the share has shrunk may for a while be more.
     *
     * @return the slots and connections in use
     */
    public Quota usage() {
        return new Quota(running.size(), connections.openCount());
    }

    /**
     * Returns how long to wait for an answer that may also be had elsewhere.
     *
     * @return the timeout, which follows the recent exchanges
     */
    public Duration requestTimeout() {
        return timeout.value();
    }

    @Override
    public void close() {
        closed = true;
        List<Waiter> left = new ArrayList<>();
        Optional<SlotRequest<Waiter>> next = waiting.poll().or(resuming::poll);
        while (next.isPresent()) {
            left.add(next.get().payload());
            next = waiting.poll().or(resuming::poll);
        }
        left.forEach(w -> refuse(w, AcquireResult.Status.UNREACHABLE, CALM));
        connections.close();
    }

    private CompletionStage<AcquireResult> admit(
            AdmissionQueue<Waiter> queue, Waiter waiter, Duration patience) {
        long now = clock.nanoTime();
        if (closed || mustGoElsewhere()) {
            refuse(waiter, AcquireResult.Status.UNREACHABLE, CALM);
            return waiter.grant();
        }
        SlotRequest<Waiter> ticket =
                new SlotRequest<>(waiter.service(), now + patience.toNanos(), waiter);
        reject(queue.offer(ticket, currentLoad(now), now));
        serve();
        boolean waits = !waiter.grant().isDone();
        if (waits) {
            Clock.Timer timer =
                    clock.schedule(() -> runtime.executor().execute(this::serve), patience);
            waiter.grant().whenComplete((grant, error) -> timer.cancel());
        }
        return waiter.grant();
    }

    private void serve() {
        if (serving || closed) {
            return;
        }
        serving = true;
        grantAll();
        sweep();
        Quota limits = quota.get();
        int freeSlots = Math.max(0, limits.slots() - running.size());
        int spare = Math.max(1, limits.slots()) + SPARE_CONNECTIONS - connections.leasedCount();
        int wanted = Math.max(spare, Math.min(waiting.size(), freeSlots));
        connections.resize(wanted, limits.connections());
        serving = false;
        runtime.metrics()
                .updateGauges(
                        connections.openCount(), running.size(), waiting.size() + resuming.size());
    }

    private void grantAll() {
        while (running.size() < quota.get().slots()) {
            Optional<SlotRequest<Waiter>> next = resuming.poll();
            if (next.isPresent()) {
                reacquireSlot(next.get());
                continue;
            }
            if (waiting.size() == 0) {
                return;
            }
            Optional<PoolEntry> pooled = connections.tryAcquire();
            if (pooled.isEmpty()) {
                return;
            }
            SlotRequest<Waiter> ticket = waiting.poll().get();
            grant(ticket, new LeasedConnection(pooled.get(), ticket.service(), runtime));
        }
    }

    private void reacquireSlot(SlotRequest<Waiter> ticket) {
        Waiter waiter = ticket.payload();
        LeasedConnection lease = waiter.lease().get();
        if (lease.isReleased()) {
            refuse(waiter, AcquireResult.Status.UNREACHABLE, CALM);
        } else {
            lease.resume();
            grant(ticket, lease);
        }
    }

    private void grant(SlotRequest<Waiter> ticket, LeasedConnection lease) {
        Waiter waiter = ticket.payload();
        running.add(lease);
        runtime.metrics().recordWait(clock.nanoTime() - waiter.askedNanos());
        if (!waiter.grant().complete(AcquireResult.granted(lease))) {
            release(lease, true);
        }
    }

    private void sweep() {
        long now = clock.nanoTime();
        while (mustGoElsewhere() && waiting.size() > 0) {
            refuse(waiting.poll().get().payload(), AcquireResult.Status.UNREACHABLE, CALM);
        }
        reject(waiting.rejectUnservable(currentLoad(now), now));
        reject(resuming.rejectUnservable(currentLoad(now), now));
    }

    /** Tells whether nothing can run here for now, whatever the patience. */
    private boolean mustGoElsewhere() {
        return quota.get().slots() == 0 || connections.isUnreachable();
    }

    private void reject(List<Rejection<Waiter>> rejections) {
        rejections.forEach(this::reject);
    }

    private void reject(Rejection<Waiter> rejection) {
        long now = clock.nanoTime();
        boolean calm = refusals == 0;
        refusals++;
        lastRefusalNanos = now;
        if (calm) {
            record(EventCode.OVERLOAD_STARTED, outstandingCount() + " statements run or wait");
        }
        refuse(
                rejection.slotRequest().payload(),
                AcquireResult.Status.OVERLOADED,
                rejection.retryAfter());
    }

    private void refuse(Waiter waiter, AcquireResult.Status status, Duration retryAfter) {
        runtime.metrics().recordRefusal();
        waiter.grant().complete(AcquireResult.refused(status, retryAfter));
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = clock.nanoTime();
        if (refusals > 0 && now - lastRefusalNanos >= CALM.toNanos()) {
            record(EventCode.OVERLOAD_ENDED, refusals + " statements were refused");
            refusals = 0;
        }
        connections.pingStale();
        serve();
        clock.schedule(() -> runtime.executor().execute(this::tick), TICK);
    }

    private InstanceLoad currentLoad(long now) {
        long service = serviceTime.nanos();
        long remaining =
                running.stream()
                        .mapToLong(lease -> service - (now - lease.grantedNanos()))
                        .filter(nanos -> nanos > 0)
                        .sum();
        return new InstanceLoad(quota.get().slots(), running.size(), remaining, service);
    }

    private void measure(LeasedConnection lease) {
        long held = clock.nanoTime() - lease.grantedNanos();
        serviceTime = serviceTime.withSample(held);
        timeout.recordLatency(held);
    }

    private void record(EventCode code, String detail) {
        EventScope scope = EventScope.of(runtime.group());
        runtime.events().record(code, scope, "instance " + backend.spec().id() + ": " + detail);
    }

    /** A request that waits, with its connection if it has one. */
    private record Waiter(
            ServiceName service,
            Optional<LeasedConnection> lease,
            long askedNanos,
            CompletableFuture<AcquireResult> grant) {
        private Waiter(ServiceName service, Optional<LeasedConnection> lease, long askedNanos) {
            this(service, lease, askedNanos, new CompletableFuture<>());
        }
    }
}
