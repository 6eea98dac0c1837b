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
 * Tracks open connections and closes those that had no request in progress for longer than the idle
 * timeout. A connection on which the head of a request never completes counts as idle.
 */
final class ConnectionTracker implements ConnectionAcceptorFactory, AutoCloseable {
    private static final int SWEEPS_PER_TIMEOUT = 4;

    private final Executor executor;
    private final Duration idleTimeout;
    private final Map<String, Connection> openConnections = new ConcurrentHashMap<>();
    private volatile boolean closed;

    private ConnectionTracker(Executor executor, Duration idleTimeout) {
        this.executor = executor;
        this.idleTimeout = idleTimeout;
    }

    static ConnectionTracker of(Executor executor, Duration idleTimeout) {
        requireNonNull(executor, "executor is null");
        ConnectionTracker tracker = new ConnectionTracker(executor, idleTimeout);
        tracker.scheduleSweep();
        return tracker;
    }

    @Override
    public ConnectionAcceptor create(ConnectionAcceptor original) {
        return new RegisteringAcceptor(original);
    }

    void requestStarted(HttpServiceContext context) {
        Connection connection = find(context);
        if (connection != null) {
            connection.activeRequests.incrementAndGet();
        }
    }

    void requestEnded(HttpServiceContext context) {
        Connection connection = find(context);
        if (connection != null) {
            connection.lastActiveNanos = nowNanos();
            connection.activeRequests.decrementAndGet();
        }
    }

    /** Returns the number of requests in progress on open connections. */
    int activeRequestCount() {
        return openConnections.values().stream()
                .mapToInt(connection -> connection.activeRequests.get())
                .sum();
    }

    int openConnectionCount() {
        return openConnections.size();
    }

    @Override
    public void close() {
        closed = true;
    }

    private Connection find(ConnectionContext context) {
        ConnectionContext parent = context.parent();
        return openConnections.get((parent == null ? context : parent).connectionId());
    }

    private void scheduleSweep() {
        executor.schedule(this::sweep, idleTimeout.dividedBy(SWEEPS_PER_TIMEOUT));
    }

    private void sweep() {
        openConnections.values().stream().filter(this::isIdle).forEach(Connection::close);
        if (!closed) {
            scheduleSweep();
        }
    }

    private boolean isIdle(Connection connection) {
        return connection.activeRequests.get() == 0
                && nowNanos() - connection.lastActiveNanos > idleTimeout.toNanos();
    }

    private long nowNanos() {
        return executor.currentTime(TimeUnit.NANOSECONDS);
    }

    private final class RegisteringAcceptor implements ConnectionAcceptor {
        private final ConnectionAcceptor original;

        private RegisteringAcceptor(ConnectionAcceptor original) {
            this.original = original;
        }

        @Override
        public Completable accept(ConnectionContext context) {
            String id = context.connectionId();
            openConnections.put(id, new Connection(context, nowNanos()));
            context.onClose().afterFinally(() -> openConnections.remove(id)).subscribe();
            return original.accept(context);
        }
    }

    private static final class Connection {
        private final ConnectionContext context;
        private final AtomicInteger activeRequests = new AtomicInteger();
        private volatile long lastActiveNanos;

        private Connection(ConnectionContext context, long openedNanos) {
            this.context = context;
            this.lastActiveNanos = openedNanos;
        }

        private void close() {
            context.closeAsync().subscribe();
        }
    }
}
