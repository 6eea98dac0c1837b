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
import org.carobstage.admission.Load;
import org.carobstage.admission.Rejection;
import org.carobstage.admission.ServiceTime;
import org.carobstage.admission.Ticket;
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
    private final Supplier<Share> share;
    private final PoolRuntime runtime;
    private final Clock clock;
    private final Connections connections;
    private final AdmissionQueue<Waiter> waiting = AdmissionQueue.of(MAX_WAITING);
    private final AdmissionQueue<Waiter> resuming = AdmissionQueue.of(MAX_WAITING);
    private final Set<Lease> running = new LinkedHashSet<>();
    private final ExchangeTimeout timeout = ExchangeTimeout.empty();
    private ServiceTime serviceTime = ServiceTime.empty();
    private long lastRefusalNanos;
    private long refusals;
    private boolean serving;
    private boolean closed;

    private InstancePool(Backend backend, Supplier<Share> share, PoolRuntime runtime) {
        this.backend = backend;
        this.share = share;
        this.runtime = runtime;
        this.clock = runtime.clock();
        this.connections = new Connections(backend, runtime, this::serve);
    }

    /**
     * Creates a pool, which at once starts to open its spare connections.
     *
     * @param backend the instance
     * @param share this process's part of the instance's limits, asked each time
     * @param runtime what the pool needs of the process
     * @return the pool
     */
    public static InstancePool of(Backend backend, Supplier<Share> share, PoolRuntime runtime) {
        requireNonNull(backend, "backend is null");
        requireNonNull(share, "share is null");
        requireNonNull(runtime, "runtime is null");
        InstancePool pool = new InstancePool(backend, share, runtime);
        runtime.duty().execute(pool::tick);
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
    public CompletionStage<Grant> acquire(ServiceName service, Duration patience) {
        requireNonNull(service, "service is null");
        return admit(waiting, new Waiter(service, Optional.empty(), clock.nanoTime()), patience);
    }

    /**
     * Gives the slot back and keeps the connection, between the statements of a transaction.
     *
     * @param connection the connection
     */
    public void pause(BackendConnection connection) {
        Lease lease = (Lease) connection;
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
    public CompletionStage<Grant> resume(BackendConnection connection, Duration patience) {
        Lease lease = (Lease) connection;
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
        Lease lease = (Lease) connection;
        if (!lease.end()) {
            return;
        }
        running.remove(lease);
        if (clean && !lease.isPaused()) {
            measure(lease);
        }
        int limit = share.get().connections();
        connections.give(lease.pooled(), clean, lease.grantedNanos(), limit);
        serve();
    }

    /**
     * Returns this process's part of the instance's limits.
     *
     * @return the share at this moment
     */
    public Share share() {
        return share.get();
    }

    /**
     * Returns how much work is here, as the cost of one more statement.
     *
     * @return the number of statements that run or wait
     */
    public long load() {
        return running.size() + (long) waiting.size() + resuming.size();
    }

    /**
     * Returns what is in use now, which after the share has shrunk may for a while be more.
     *
     * @return the slots and connections in use
     */
    public Share used() {
        return new Share(running.size(), connections.open());
    }

    /**
     * Returns how long to wait for an answer that may also be had elsewhere.
     *
     * @return the timeout, which follows the recent exchanges
     */
    public Duration exchangeTimeout() {
        return timeout.value();
    }

    @Override
    public void close() {
        closed = true;
        List<Waiter> left = new ArrayList<>();
        Optional<Ticket<Waiter>> next = waiting.poll().or(resuming::poll);
        while (next.isPresent()) {
            left.add(next.get().payload());
            next = waiting.poll().or(resuming::poll);
        }
        left.forEach(w -> refuse(w, Grant.Status.UNREACHABLE, CALM));
        connections.close();
    }

    private CompletionStage<Grant> admit(
            AdmissionQueue<Waiter> queue, Waiter waiter, Duration patience) {
        long now = clock.nanoTime();
        if (closed) {
            refuse(waiter, Grant.Status.UNREACHABLE, CALM);
            return waiter.grant();
        }
        Ticket<Waiter> ticket = new Ticket<>(waiter.service(), now + patience.toNanos(), waiter);
        reject(queue.offer(ticket, currentLoad(now), now));
        serve();
        boolean waits = !waiter.grant().isDone();
        if (waits) {
            Clock.Timer timer = clock.schedule(() -> runtime.duty().execute(this::serve), patience);
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
        Share limits = share.get();
        int freeSlots = Math.max(0, limits.slots() - running.size());
        int spare = Math.max(1, limits.slots()) + SPARE_CONNECTIONS - connections.lent();
        int wanted = Math.max(spare, Math.min(waiting.size(), freeSlots));
        connections.adjust(wanted, limits.connections());
        serving = false;
        runtime.metrics().use(connections.open(), running.size(), waiting.size() + resuming.size());
    }

    private void grantAll() {
        while (running.size() < share.get().slots()) {
            Optional<Ticket<Waiter>> next = resuming.poll();
            if (next.isPresent()) {
                resume(next.get());
                continue;
            }
            if (waiting.size() == 0) {
                return;
            }
            Optional<Pooled> pooled = connections.take();
            if (pooled.isEmpty()) {
                return;
            }
            Ticket<Waiter> ticket = waiting.poll().get();
            grant(ticket, new Lease(pooled.get(), ticket.service(), runtime));
        }
    }

    private void resume(Ticket<Waiter> ticket) {
        Waiter waiter = ticket.payload();
        Lease lease = waiter.lease().get();
        if (lease.isEnded()) {
            refuse(waiter, Grant.Status.UNREACHABLE, CALM);
        } else {
            lease.resume();
            grant(ticket, lease);
        }
    }

    private void grant(Ticket<Waiter> ticket, Lease lease) {
        Waiter waiter = ticket.payload();
        running.add(lease);
        runtime.metrics().waited(clock.nanoTime() - waiter.askedNanos());
        if (!waiter.grant().complete(Grant.of(lease))) {
            release(lease, true);
        }
    }

    private void sweep() {
        long now = clock.nanoTime();
        while (connections.isUnreachable() && waiting.size() > 0) {
            refuse(waiting.poll().get().payload(), Grant.Status.UNREACHABLE, CALM);
        }
        reject(waiting.sweep(currentLoad(now), now));
        reject(resuming.sweep(currentLoad(now), now));
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
            record(EventCode.OVERLOAD_STARTED, load() + " statements run or wait");
        }
        refuse(rejection.ticket().payload(), Grant.Status.OVERLOADED, rejection.retryAfter());
    }

    private void refuse(Waiter waiter, Grant.Status status, Duration retryAfter) {
        runtime.metrics().refused();
        waiter.grant().complete(Grant.refused(status, retryAfter));
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
        connections.pingOldest();
        serve();
        clock.schedule(() -> runtime.duty().execute(this::tick), TICK);
    }

    private Load currentLoad(long now) {
        long service = serviceTime.nanos();
        long remaining =
                running.stream()
                        .mapToLong(lease -> service - (now - lease.grantedNanos()))
                        .filter(nanos -> nanos > 0)
                        .sum();
        return new Load(share.get().slots(), running.size(), remaining, service);
    }

    private void measure(Lease lease) {
        long held = clock.nanoTime() - lease.grantedNanos();
        serviceTime = serviceTime.with(held);
        timeout.record(held);
    }

    private void record(EventCode code, String detail) {
        EventScope scope = EventScope.of(runtime.group());
        runtime.events().record(code, scope, "instance " + backend.spec().id() + ": " + detail);
    }

    /** A request that waits, with its connection if it has one. */
    private record Waiter(
            ServiceName service,
            Optional<Lease> lease,
            long askedNanos,
            CompletableFuture<Grant> grant) {
        private Waiter(ServiceName service, Optional<Lease> lease, long askedNanos) {
            this(service, lease, askedNanos, new CompletableFuture<>());
        }
    }
}
