package org.carobstage.pool;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.carobstage.backend.Backend;
import org.carobstage.backend.BackendConnection;
import org.carobstage.runtime.Clock;

/** The connections to one instance; all methods run on the duty of the group. */
public final class InstancePool implements AutoCloseable {
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(1_000);

    private final Backend backend;
    private final Supplier<Share> share;
    private final Clock clock;
    private final Executor duty;
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private int open;
    private int busy;

    private InstancePool(Backend backend, Supplier<Share> share, Clock clock, Executor duty) {
        this.backend = backend;
        this.share = share;
        this.clock = clock;
        this.duty = duty;
    }

    /**
     * Creates a pool without connections.
     *
     * @param backend the instance
     * @param share this process's part of the instance's limits
     * @param clock the runtime's clock
     * @param duty runs the pool's decisions
     * @return the pool
     */
    public static InstancePool of(
            Backend backend, Supplier<Share> share, Clock clock, Executor duty) {
        requireNonNull(backend, "backend is null");
        return new InstancePool(backend, share, clock, duty);
    }

    /**
     * Takes a connection together with a slot.
     *
     * @param patience the longest wait
     * @return the connection, or empty if none became free in time
     */
    public CompletionStage<Optional<BackendConnection>> acquire(Duration patience) {
        Waiter waiter =
                new Waiter(new CompletableFuture<>(), clock.nanoTime() + patience.toNanos());
        waiters.add(waiter);
        clock.schedule(() -> duty.execute(this::expire), patience);
        serve();
        return waiter.connection();
    }

    /**
     * Gives a connection and its slot back.
     *
     * @param connection the connection
     * @param clean true if its state is known to be clean; otherwise it is closed
     */
    public void release(BackendConnection connection, boolean clean) {
        busy--;
        if (clean) {
            idle.push(connection);
        } else {
            open--;
            connection.close();
        }
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
        return busy + (long) waiters.size();
    }

    @Override
    public void close() {
        idle.forEach(BackendConnection::close);
        idle.clear();
    }

    private void serve() {
        while (!waiters.isEmpty() && busy < share.get().slots()) {
            BackendConnection connection = idle.poll();
            if (connection != null) {
                busy++;
                waiters.poll().connection().complete(Optional.of(connection));
            } else if (open < share.get().connections()) {
                busy++;
                openFor(waiters.poll());
            } else {
                return;
            }
        }
    }

    private void openFor(Waiter waiter) {
        open++;
        backend.open(OPEN_TIMEOUT)
                .whenCompleteAsync((connection, error) -> opened(waiter, connection, error), duty);
    }

    private void opened(Waiter waiter, BackendConnection connection, Throwable error) {
        if (error != null) {
            open--;
            busy--;
            waiter.connection().complete(Optional.empty());
            serve();
        } else if (!waiter.connection().complete(Optional.of(connection))) {
            release(connection, true);
        }
    }

    private void expire() {
        long now = clock.nanoTime();
        for (Iterator<Waiter> i = waiters.iterator(); i.hasNext(); ) {
            Waiter waiter = i.next();
            if (waiter.deadlineNanos() - now <= 0) {
                i.remove();
                waiter.connection().complete(Optional.empty());
            }
        }
    }

    private record Waiter(
            CompletableFuture<Optional<BackendConnection>> connection, long deadlineNanos) {}
}
