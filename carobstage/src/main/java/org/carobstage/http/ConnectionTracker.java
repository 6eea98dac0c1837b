package org.carobstage.http;

import static java.util.Objects.requireNonNull;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.transport.api.ConnectionAcceptor;
import io.servicetalk.transport.api.ConnectionAcceptorFactory;
import io.servicetalk.transport.api.ConnectionContext;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Closes connections on which no request was in progress for a while, also those that send a
 * request's head so slowly that it never comes to its end.
 */
final class ConnectionTracker implements ConnectionAcceptorFactory, AutoCloseable {
    private static final int SWEEPS_PER_TIMEOUT = 4;

    private final Executor executor;
    private final Duration timeout;
    private final Map<String, Connection> open = new ConcurrentHashMap<>();
    private volatile boolean closed;

    private ConnectionTracker(Executor executor, Duration timeout) {
        this.executor = executor;
        this.timeout = timeout;
    }

    static ConnectionTracker of(Executor executor, Duration timeout) {
        requireNonNull(executor, "executor is null");
        ConnectionTracker connections = new ConnectionTracker(executor, timeout);
        connections.scheduleSweep();
        return connections;
    }

    @Override
    public ConnectionAcceptor create(ConnectionAcceptor original) {
        return new Registering(original);
    }

    void requestStarted(HttpServiceContext context) {
        Connection connection = find(context);
        if (connection != null) {
            connection.inProgress.incrementAndGet();
        }
    }

    void requestEnded(HttpServiceContext context) {
        Connection connection = find(context);
        if (connection != null) {
            connection.lastNanos = now();
            connection.inProgress.decrementAndGet();
        }
    }

    /** Returns how many requests are in progress; those of a closed connection count no more. */
    int activeRequestCount() {
        return open.values().stream().mapToInt(c -> c.inProgress.get()).sum();
    }

    int openConnectionCount() {
        return open.size();
    }

    @Override
    public void close() {
        closed = true;
    }

    private Connection find(ConnectionContext context) {
        ConnectionContext parent = context.parent();
        return open.get((parent == null ? context : parent).connectionId());
    }

    private void scheduleSweep() {
        executor.schedule(this::sweep, timeout.dividedBy(SWEEPS_PER_TIMEOUT));
    }

    private void sweep() {
        open.values().stream().filter(this::isIdle).forEach(Connection::close);
        if (!closed) {
            scheduleSweep();
        }
    }

    private boolean isIdle(Connection connection) {
        return connection.inProgress.get() == 0 && now() - connection.lastNanos > timeout.toNanos();
    }

    private long now() {
        return executor.currentTime(TimeUnit.NANOSECONDS);
    }

    private final class Registering implements ConnectionAcceptor {
        private final ConnectionAcceptor original;

        private Registering(ConnectionAcceptor original) {
            this.original = original;
        }

        @Override
        public Completable accept(ConnectionContext context) {
            String id = context.connectionId();
            open.put(id, new Connection(context, now()));
            context.onClose().afterFinally(() -> open.remove(id)).subscribe();
            return original.accept(context);
        }
    }

    private static final class Connection {
        private final ConnectionContext context;
        private final AtomicInteger inProgress = new AtomicInteger();
        private volatile long lastNanos;

        private Connection(ConnectionContext context, long nanos) {
            this.context = context;
            this.lastNanos = nanos;
        }

        private void close() {
            context.closeAsync().subscribe();
        }
    }
}
