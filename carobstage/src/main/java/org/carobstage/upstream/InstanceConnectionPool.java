package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.freshness.ClockReading;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.upstream.InstanceConnection.StatusResponse;
import org.carobstage.upstream.InstanceConnector.OpenFailure;

/** The connections of this process to one instance, with failure detection for the instance. */
final class InstanceConnectionPool {
    /**
     * A draining primary is used until it is replaced, but no longer than the shortest drain
     * notice.
     */
    private static final Duration DRAIN_LIMIT = Duration.ofMillis(6_000);

    /** Connections kept open without demand, since opening one takes tens of ms and a slot. */
    private static final int MIN_CONNECTIONS = 1;

    /**
     * Timeout of opening; it covers the time that a new connection waits in a full instance's
     * queue.
     */
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(400);

    /** The delay after a failed attempt to open a connection. */
    private static final Duration OPEN_RETRY_DELAY = Duration.ofMillis(150);

    /**
     * Number of consecutive failed attempts to open a connection, without a response in between,
     * after which the instance is suspected.
     */
    private static final int FAILURES_TO_SUSPECT = 2;

    /**
     * Silence after which a new connection probes the instance; longer than the wait in a full
     * queue.
     */
    private static final Duration PROBE_AFTER_SILENCE = Duration.ofMillis(300);

    /** Silence after which a connection is closed, even if others of the instance get responses. */
    private static final Duration CLOSE_AFTER_SILENCE = Duration.ofMillis(2_500);

    /**
     * Idle time after which connections above the minimum are closed, to leave room for other
     * processes.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(1_000);

    /**
     * Statements in flight for each slot of an instance, over all processes: one runs while the
     * next is in transit.
     */
    private static final int STATEMENTS_PER_SLOT = 2;

    /** The weight of the newest sample in the moving average of the latency. */
    private static final double NEWEST_WEIGHT = 0.2;

    /** The latency assumed before the first sample. */
    private static final double INITIAL_LATENCY_MILLIS = 20;

    private final ServiceGroup group;
    private final UpstreamContext context;
    private final List<PooledConnection> connections = new ArrayList<>();
    private InstanceEntry entry;
    private int connectionLimit = 1;
    private int processCount = 1;
    private int openingCount;
    private int consecutiveFailures;
    private long openNotBeforeNanos;
    private long lastResponseNanos;
    private long drainingSinceNanos;
    private long statusRequestedNanos;
    private boolean suspected;
    private boolean closed;
    private boolean refusalReported;
    private double latencyMillis = INITIAL_LATENCY_MILLIS;

    InstanceConnectionPool(ServiceGroup group, UpstreamContext context, InstanceEntry entry) {
        this.group = requireNonNull(group, "group is null");
        this.context = requireNonNull(context, "context is null");
        this.entry = requireNonNull(entry, "entry is null");
        this.openNotBeforeNanos = context.clock().nanoTime();
        this.lastResponseNanos = openNotBeforeNanos;
        this.drainingSinceNanos = openNotBeforeNanos;
        this.statusRequestedNanos = openNotBeforeNanos - TimeUnit.HOURS.toNanos(1);
    }

    InstanceEntry entry() {
        return entry;
    }

    ClockReading now() {
        return ClockReading.now(context.clock());
    }

    boolean isSuspected() {
        return suspected;
    }

    /**
     * Replaces the entry; connections to an earlier address or incarnation are closed once idle.
     */
    void update(InstanceEntry newer) {
        boolean isReplaced =
                !newer.address().equals(entry.address())
                        || newer.bornMillis() != entry.bornMillis();
        if (newer.draining() && !entry.draining()) {
            drainingSinceNanos = context.clock().nanoTime();
        }
        entry = newer;
        if (isReplaced) {
            retireAll();
            consecutiveFailures = 0;
            openNotBeforeNanos = context.clock().nanoTime();
        }
    }

    void setConnectionLimit(int limit, int sharedBy) {
        connectionLimit = limit;
        processCount = sharedBy;
        while (connections.size() > connectionLimit) {
            Optional<PooledConnection> idle =
                    connections.stream().filter(c -> !c.isBusy()).findFirst();
            if (idle.isEmpty()) {
                break;
            }
            idle.get().discard();
        }
    }

    /** Closes idle connections at once, the others when they are released or silent. */
    void close() {
        closed = true;
        retireAll();
        closeRemaining();
    }

    InstanceSelector.Candidate toCandidate() {
        return new InstanceSelector.Candidate(
                entry.id(),
                entry.domain().equals(context.domain()),
                suspected,
                entry.draining(),
                busyCount(),
                entry.slots(),
                latencyMillis);
    }

    /** Returns the moving average of the statement latency. */
    Duration averageLatency() {
        return Duration.ofNanos((long) (latencyMillis * 1e6));
    }

    /**
     * Returns whether the instance responds and has not been draining for longer than the limit.
     */
    boolean isUsable() {
        boolean drainExpired =
                entry.draining()
                        && context.clock().nanoTime() - drainingSinceNanos > DRAIN_LIMIT.toNanos();
        return !suspected && !drainExpired;
    }

    /** Returns how many statements outside transactions this process may have in flight here. */
    int statementLimit() {
        return 1 + (STATEMENTS_PER_SLOT * entry.slots() + processCount - 1) / processCount;
    }

    /** Returns whether another statement outside a transaction may be sent to the instance. */
    boolean canAcceptStatement() {
        return connections.stream().filter(c -> c.isBusy() && !c.isPinned()).count()
                < statementLimit();
    }

    /** Acquires the idle connection whose session variables match best. */
    Optional<PooledConnection> tryAcquire(Map<String, String> sessionVariables) {
        Optional<PooledConnection> idle =
                connections.stream()
                        .filter(c -> !c.isBusy())
                        .max(Comparator.comparingInt(c -> sessionMatchScore(c, sessionVariables)));
        idle.ifPresent(PooledConnection::markBusy);
        return idle;
    }

    /** Opens a connection if the limit and the delay after a failure allow it. */
    void openIfAllowed() {
        long nowNanos = context.clock().nanoTime();
        if (!closed
                && connections.size() + openingCount < connectionLimit
                && nowNanos - openNotBeforeNanos >= 0) {
            open();
        }
    }

    long statusRequestedNanos() {
        return statusRequestedNanos;
    }

    long lastResponseNanos() {
        return lastResponseNanos;
    }

    void tick(long nowNanos) {
        if (connections.size() + openingCount < Math.min(MIN_CONNECTIONS, connectionLimit)) {
            openIfAllowed();
        }
        closeSilentConnections(nowNanos);
        closeIdleConnections(nowNanos);
        Duration silence = silence(nowNanos);
        if (silence.compareTo(PROBE_AFTER_SILENCE) > 0
                && openingCount == 0
                && nowNanos - openNotBeforeNanos >= 0) {
            open();
        }
    }

    void requestStatus(long nowNanos) {
        if (trySendControlCommand(new Statement.QueryStatus(), response -> {})) {
            statusRequestedNanos = nowNanos;
        }
    }

    /**
     * Restarts the timeouts after this process was paused, which would otherwise look like silence
     * of the instance.
     */
    void resetTimersAfterPause() {
        ClockReading now = now();
        lastResponseNanos = now.monotonicNanos();
        consecutiveFailures = 0;
        connections.stream().filter(c -> c.sentAt().isPresent()).forEach(c -> c.setSentAt(now));
    }

    void onResult(
            PooledConnection connection,
            Statement statement,
            Optional<StatementResult> response,
            ClockReading sentAt) {
        if (response.isEmpty()) {
            return;
        }
        recordResponse();
        StatementResult result = response.get();
        if (result.hasFailureCode(FailureCode.NOT_PRIMARY)) {
            group.onNotPrimary(entry.id());
        } else if (result.isSuccessful() && requiresPrimary(statement)) {
            result.logPosition().ifPresent(p -> group.onLeadershipConfirmed(entry.id(), p, sentAt));
        }
        if (statement instanceof Statement.Read || statement instanceof Statement.Execute) {
            double latency = sentAt.age(now()).toNanos() / 1e6;
            latencyMillis += NEWEST_WEIGHT * (latency - latencyMillis);
        }
    }

    void release(PooledConnection connection) {
        connection.markIdle(context.clock().nanoTime());
        if (connection.isRetired() || connections.size() > connectionLimit) {
            connection.discard();
        } else {
            group.dispatch();
        }
    }

    void removeConnection(PooledConnection connection) {
        connections.remove(connection);
        group.dispatch();
    }

    /** Sends a control command on an idle connection; returns false if there is none. */
    boolean trySendControlCommand(Statement statement, Consumer<StatusResponse> callback) {
        Optional<PooledConnection> idle = tryAcquire(Map.of());
        idle.ifPresent(c -> sendControlCommand(c, statement, callback));
        return idle.isPresent();
    }

    /** Sends a control command on a busy connection, which is released with the response. */
    void sendControlCommand(
            PooledConnection connection, Statement statement, Consumer<StatusResponse> callback) {
        ClockReading sentAt = now();
        connection.setSentAt(sentAt);
        connection
                .delegate()
                .sendControlCommand(
                        statement,
                        response -> {
                            connection.setSentAt(null);
                            if (response.hasResponse()) {
                                recordResponse();
                            }
                            response.status().ifPresent(s -> group.onStatus(entry.id(), s, sentAt));
                            callback.accept(response);
                            if (connection.isOpen()) {
                                release(connection);
                            }
                        });
    }

    boolean hasWritesInFlight() {
        return connections.stream().anyMatch(PooledConnection::hasWriteInFlight);
    }

    /** Resets the connections on which a write or commit has no result yet. */
    void discardWritesInFlight() {
        connections.stream()
                .filter(PooledConnection::hasWriteInFlight)
                .toList()
                .forEach(PooledConnection::discard);
    }

    int openConnectionCount() {
        return connections.size();
    }

    private int busyCount() {
        return (int) connections.stream().filter(PooledConnection::isBusy).count();
    }

    private static int sessionMatchScore(
            PooledConnection connection, Map<String, String> sessionVariables) {
        if (connection.sessionVariables().equals(sessionVariables)) {
            return 2;
        }
        return sessionVariables.keySet().containsAll(connection.sessionVariables().keySet())
                ? 1
                : 0;
    }

    private static boolean requiresPrimary(Statement statement) {
        return statement instanceof Statement.Write
                || statement instanceof Statement.Begin begin && !begin.isReadOnly();
    }

    private void open() {
        openingCount++;
        PooledConnection pooled = new PooledConnection(this);
        InstanceEntry target = entry;
        context.connector()
                .connect(
                        target,
                        Optional.empty(),
                        OPEN_TIMEOUT,
                        InstanceConnector.Listener.of(
                                connection -> onOpened(pooled, connection, target),
                                this::onOpenFailed,
                                () -> {
                                    pooled.markLost();
                                    removeConnection(pooled);
                                }));
    }

    private void onOpened(
            PooledConnection pooled, InstanceConnection connection, InstanceEntry target) {
        openingCount--;
        refusalReported = false;
        pooled.attach(connection);
        connections.add(pooled);
        if (closed || !target.address().equals(entry.address())) {
            pooled.discard();
            return;
        }
        recordResponse();
        if (group.hasNoLeader()) {
            pooled.markBusy();
            pooled.requestStatus(() -> {});
        } else {
            release(pooled);
        }
    }

    private void onOpenFailed(OpenFailure reason) {
        openingCount--;
        long nowNanos = context.clock().nanoTime();
        openNotBeforeNanos = nowNanos + OPEN_RETRY_DELAY.toNanos();
        boolean responded = reason == OpenFailure.CONNECTION_LIMIT || reason == OpenFailure.REFUSED;
        if (responded) {
            recordResponse();
            if (!refusalReported) {
                refusalReported = true;
                group.onConnectionsRefused(entry, reason, connections.size());
            }
            return;
        }
        consecutiveFailures++;
        if (reason == OpenFailure.RESET) {
            group.onConnectionReset(entry.id());
        }
        boolean silent =
                reason == OpenFailure.NO_ANSWER
                        && silence(nowNanos).compareTo(PROBE_AFTER_SILENCE) > 0;
        if ((silent || consecutiveFailures >= FAILURES_TO_SUSPECT) && !suspected) {
            suspected = true;
            group.onSuspicionChanged(
                    entry, true, reason + ", silent for " + silence(nowNanos).toMillis());
        }
    }

    private void recordResponse() {
        lastResponseNanos = context.clock().nanoTime();
        consecutiveFailures = 0;
        group.onResponse(entry.id());
        if (suspected) {
            suspected = false;
            group.onSuspicionChanged(entry, false, "the instance responded");
        }
    }

    /**
     * Returns how long the oldest unanswered request has waited without any response from the
     * instance.
     */
    private Duration silence(long nowNanos) {
        return connections.stream()
                .map(PooledConnection::sentAt)
                .flatMap(Optional::stream)
                .map(sent -> nowNanos - Math.max(sent.monotonicNanos(), lastResponseNanos))
                .max(Comparator.naturalOrder())
                .map(Duration::ofNanos)
                .orElse(Duration.ZERO);
    }

    private void closeSilentConnections(long nowNanos) {
        List<PooledConnection> silent =
                connections.stream()
                        .filter(c -> c.sentAt().isPresent())
                        .filter(
                                c ->
                                        nowNanos - c.sentAt().get().monotonicNanos()
                                                > CLOSE_AFTER_SILENCE.toNanos())
                        .toList();
        silent.forEach(PooledConnection::discard);
    }

    /** The timer of the group no longer reaches a pool that was removed. */
    private void closeRemaining() {
        closeSilentConnections(context.clock().nanoTime());
        if (!connections.isEmpty()) {
            context.clock().schedule(this::closeRemaining, CLOSE_AFTER_SILENCE);
        }
    }

    private void closeIdleConnections(long nowNanos) {
        connections.stream()
                .filter(c -> !c.isBusy() && nowNanos - c.idleSinceNanos() > IDLE_TIMEOUT.toNanos())
                .skip(MIN_CONNECTIONS)
                .toList()
                .forEach(PooledConnection::discard);
    }

    private void retireAll() {
        connections.forEach(PooledConnection::markRetired);
        connections.stream().filter(c -> !c.isBusy()).toList().forEach(PooledConnection::discard);
    }
}
