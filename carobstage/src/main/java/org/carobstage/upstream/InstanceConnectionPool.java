package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
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

    /** Silence after which a connection is closed, even if others of the instance get responses. */
    private static final Duration CLOSE_AFTER_SILENCE = Duration.ofMillis(2_500);

    /**
     * Statements in flight for each slot of an instance, over all processes: one runs while the
     * next is in transit.
     */
    private static final int STATEMENTS_PER_SLOT = 2;

    private final ServiceGroup group;
    private final UpstreamContext context;
    private final ConnectionSet connections = ConnectionSet.empty();
    private final Openings openings;
    private final ControlCommands controlCommands = ControlCommands.of(this);
    private final FailureDetector detector;
    private final PoolStatistics statistics = PoolStatistics.empty();
    private InstanceEntry entry;
    private ConnectionShare share;
    private long drainingSinceNanos;
    private long statusRequestedNanos;
    private double statusJitter;
    private boolean closed;

    InstanceConnectionPool(ServiceGroup group, UpstreamContext context, InstanceEntry entry) {
        this.group = requireNonNull(group, "group is null");
        this.context = requireNonNull(context, "context is null");
        this.entry = requireNonNull(entry, "entry is null");
        this.openings = new Openings(this, context);
        this.detector = FailureDetector.of(group, context.clock());
        long nowNanos = context.clock().nanoTime();
        this.share = ConnectionShare.of(ConnectionQuota.fixed(1, 1), nowNanos);
        this.drainingSinceNanos = nowNanos;
        this.statusRequestedNanos = nowNanos - TimeUnit.HOURS.toNanos(1);
    }

    InstanceEntry entry() {
        return entry;
    }

    ClockReading now() {
        return ClockReading.now(context.clock());
    }

    boolean isSuspected() {
        return detector.isSuspected();
    }

    /**
     * Replaces the entry; connections to an earlier address or incarnation are closed once idle.
     */
    void update(InstanceEntry newer) {
        InstanceEntry former = entry;
        if (newer.draining() && !entry.draining()) {
            drainingSinceNanos = context.clock().nanoTime();
        }
        entry = newer;
        if (isReplaced(former)) {
            retireAll();
            detector.onReplaced();
            share = share.onReplaced(context.clock().nanoTime());
        }
    }

    void setQuota(ConnectionQuota quota) {
        share = share.withQuota(quota);
        connections.excess(share.limit()).forEach(PoolEntry::discardIfIdle);
    }

    /**
     * Sets whether a connection is kept open although there are more processes than connections.
     */
    void setKeepsOpen(boolean keepsOpen) {
        share = share.withKeepsOpen(keepsOpen);
    }

    /** Closes idle connections at once, the others when they are released or silent. */
    void close() {
        closed = true;
        retireAll();
    }

    /** Returns whether no connection is open or being opened. */
    boolean isEmpty() {
        return connections.size() == 0 && openings.isEmpty();
    }

    /** Returns how long an opening that starts now is expected to take. */
    Duration expectedOpeningTime() {
        return statistics.expectedOpeningTime(openings(), now().monotonicNanos());
    }

    /** Returns whether the instance is in the failure domain of this process. */
    boolean isLocal() {
        return entry.domain().equals(context.domain());
    }

    /** Returns whether reads leave the instance to statements that only a primary runs. */
    boolean isReserved() {
        return share.quota().belowOne() && group.leadership().isLeader(entry.id());
    }

    /** Returns the moving average of the statement latency. */
    Duration averageLatency() {
        return statistics.latency().duration();
    }

    /**
     * Returns whether the instance responds and has not been draining for longer than the limit.
     */
    boolean isUsable() {
        boolean drainExpired =
                entry.draining()
                        && context.clock().nanoTime() - drainingSinceNanos > DRAIN_LIMIT.toNanos();
        return !isSuspected() && !drainExpired;
    }

    /** Returns how many statements outside transactions this process may have in flight here. */
    int statementLimit() {
        int processCount = share.quota().processCount();
        return 1 + (STATEMENTS_PER_SLOT * entry.slots() + processCount - 1) / processCount;
    }

    /** Returns whether another statement outside a transaction may be sent to the instance. */
    boolean canAcceptStatement() {
        return connections.statementCount() < statementLimit();
    }

    boolean hasIdle(ConnectionRequest request) {
        return idle(request).findFirst().isPresent();
    }

    /** Acquires the idle connection of the request's account whose session variables match best. */
    Optional<PooledConnection> tryAcquire(ConnectionRequest request) {
        return acquire(ConnectionSet.bestMatch(idle(request), request.sessionVariables()))
                .map(PooledConnection::new);
    }

    /** Opens the connection that is kept open without demand, if any is. */
    void openWarmConnection() {
        if (connections.size() + openings.size() < share.minConnections(detector.needsProbe())) {
            openIfAllowed(Optional.empty(), OpeningCause.WARM);
        }
    }

    /** Opens a connection if the limit and the delay after a failure allow it. */
    void openIfAllowed(Optional<AccountName> account, OpeningCause cause) {
        if (canOpen(account)) {
            openMakingRoom(account, cause);
        }
    }

    /**
     * Returns whether a connection may be opened now, possibly in place of an idle one of another
     * account.
     */
    boolean canOpen(Optional<AccountName> account) {
        return !closed
                && share.mayOpen(context.clock().nanoTime())
                && (hasRoom() || connections.evictable(account).isPresent());
    }

    /** Opens a connection, for which an idle one of another account is closed at the limit. */
    Opening openMakingRoom(Optional<AccountName> account, OpeningCause cause) {
        if (!hasRoom()) {
            statistics.onEvicted();
            connections.evictable(account).ifPresent(PoolEntry::discard);
        }
        return open(account, cause);
    }

    /** Raises the limit if all connections are in use, no instance refuses and the quota allows. */
    void raiseLimit() {
        if (!hasRoom()) {
            share = share.onDemand(context.clock().nanoTime());
        }
    }

    List<Opening> openings() {
        return openings.inProgress();
    }

    /** Returns whether a status query can expect one of the open connections soon. */
    boolean hasUnpinned() {
        return !openings.isEmpty() || connections.all().anyMatch(c -> !c.isPinned());
    }

    /** Estimates when a connection could serve a request. */
    Duration expectedWait(ConnectionRequest request) {
        return statistics
                .waitEstimate(share)
                .expectedWait(request, connections, openings(), now().monotonicNanos());
    }

    PoolCounters counters() {
        return statistics.counters(share.backoff(context.clock().nanoTime()));
    }

    long statusRequestedNanos() {
        return statusRequestedNanos;
    }

    double statusJitter() {
        return statusJitter;
    }

    long lastResponseNanos() {
        return detector.lastResponseNanos();
    }

    void tick(long nowNanos) {
        openWarmConnection();
        closeSilentConnections(nowNanos);
        closeIdleConnections(nowNanos);
        boolean silent =
                connections
                                .silence(nowNanos, lastResponseNanos())
                                .compareTo(FailureDetector.PROBE_AFTER_SILENCE)
                        > 0;
        if (silent && openings.isEmpty() && share.mayOpen(nowNanos)) {
            open(Optional.empty(), OpeningCause.PROBE);
        }
    }

    void requestStatus(long nowNanos) {
        statusJitter = context.jitter().getAsDouble();
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
        detector.resetAfterPause();
        connections.all().filter(c -> c.sentAt().isPresent()).forEach(c -> c.setSentAt(now));
    }

    void onResult(Statement statement, Optional<StatementResult> response, ClockReading sentAt) {
        if (response.isEmpty()) {
            return;
        }
        detector.recordResponse(entry);
        StatementResult result = response.get();
        if (result.hasFailureCode(FailureCode.BUSY)) {
            countBusy(statement.getClass().getSimpleName());
        }
        if (result.hasFailureCode(FailureCode.NOT_PRIMARY)) {
            group.onNotPrimary(entry.id());
        } else if (result.isSuccessful() && requiresPrimary(statement)) {
            result.logPosition().ifPresent(p -> group.onLeadershipConfirmed(entry.id(), p, sentAt));
        }
        if (statement instanceof Statement.Read || statement instanceof Statement.Execute) {
            statistics.onLatency(sentAt.age(now()));
        }
    }

    void release(PoolEntry connection) {
        if (!connection.isOpen()) {
            group.dispatch();
            return;
        }
        long nowNanos = context.clock().nanoTime();
        if (connection.isPinned()) {
            statistics.onUnpinned(Duration.ofNanos(nowNanos - connection.busySinceNanos()));
        }
        boolean isNew = connection.markIdle(nowNanos);
        if (connection.isRetired() || connections.size() > share.limit()) {
            connection.discard();
        } else if (controlCommands.hasWaiting()) {
            connection.markBusy(nowNanos);
            controlCommands.sendNext(connection);
        } else if (isNew) {
            group.offer(connection);
        } else {
            group.dispatch();
        }
        if (connection.isOpen()
                && !connection.isBusy()
                && share.closesAtRelease(connections.size(), nowNanos)) {
            connection.discard();
        }
    }

    void removeConnection(PoolEntry connection) {
        connections.remove(connection);
        group.dispatch();
    }

    /**
     * Sends a control command on an idle connection of any account. If none is kept open, the
     * command waits until one is open.
     *
     * @return false if the command was not sent and will not be
     */
    boolean trySendControlCommand(Statement statement, Consumer<StatusResponse> callback) {
        Optional<PoolEntry> idle = acquire(ConnectionSet.bestMatch(connections.idle(), Map.of()));
        idle.ifPresent(c -> sendControlCommand(c, statement, callback));
        return idle.isPresent() || defer(statement, callback);
    }

    /** Sends a control command on a busy connection, which is released with the response. */
    void sendControlCommand(
            PoolEntry connection, Statement statement, Consumer<StatusResponse> callback) {
        controlCommands.send(connection, statement, callback);
    }

    /** Queries the status of the instance on a busy connection, which its holder keeps. */
    void queryStatus(PoolEntry connection, Consumer<StatusResponse> callback) {
        controlCommands.sendAndKeep(connection, new Statement.QueryStatus(), callback);
    }

    void onStatusResponse(PoolEntry connection, StatusResponse response, ClockReading sentAt) {
        connection.setSentAt(null);
        if (response.hasResponse()) {
            detector.recordResponse(entry);
        }
        if (response.hasResponse() && response.status().isEmpty()) {
            countBusy("ControlCommand");
        }
        response.status().ifPresent(s -> group.onStatus(entry.id(), s, sentAt));
    }

    /** Runs a callback; returns false if it failed, which must not affect other requests. */
    boolean runCallback(Runnable callback) {
        try {
            callback.run();
            return true;
        } catch (RuntimeException e) {
            group.onCallbackFailed(entry.id(), e);
            return false;
        }
    }

    ConnectionSet connections() {
        return connections;
    }

    ConnectionUsage connectionUsage() {
        return ConnectionUsage.of(connections, share.limit());
    }

    private Stream<PoolEntry> idle(ConnectionRequest request) {
        return request.acceptsAnyAccount()
                ? connections.idle()
                : connections.idle(request.origin().account());
    }

    private Optional<PoolEntry> acquire(Optional<PoolEntry> idle) {
        idle.ifPresent(c -> c.markBusy(context.clock().nanoTime()));
        return idle;
    }

    private void countBusy(String statement) {
        context.metrics().accept("instance_busy_total{statement=\"" + statement + "\"}", 1);
    }

    private boolean hasRoom() {
        return connections.size() + openings.size() < share.limit();
    }

    private boolean defer(Statement statement, Consumer<StatusResponse> callback) {
        if (!share.quota().isElastic() || connections.size() > 0) {
            return false;
        }
        if (openings.isEmpty()) {
            openIfAllowed(Optional.empty(), OpeningCause.CONTROL_COMMAND);
        }
        if (openings.isEmpty()) {
            return false;
        }
        controlCommands.addWaiting(statement, callback);
        return true;
    }

    private boolean isReplaced(InstanceEntry former) {
        return !former.address().equals(entry.address())
                || former.bornMillis() != entry.bornMillis();
    }

    private static boolean requiresPrimary(Statement statement) {
        return statement instanceof Statement.Write
                || statement instanceof Statement.Begin begin && !begin.isReadOnly();
    }

    private Opening open(Optional<AccountName> account, OpeningCause cause) {
        statistics.onOpeningStarted();
        return openings.start(new PoolEntry(this, account), cause);
    }

    void onOpened(PoolEntry pooled, InstanceConnection connection, Opening opening) {
        long nowNanos = context.clock().nanoTime();
        statistics.onOpened(Duration.ofNanos(nowNanos - opening.startedNanos()));
        share = share.onOpened();
        detector.onOpened();
        pooled.attach(connection);
        connections.add(pooled);
        if (closed || isReplaced(opening.target())) {
            pooled.discard();
            failDeferredCommands();
            return;
        }
        detector.recordResponse(entry);
        if (group.leadership().leader().isEmpty()) {
            pooled.markBusy(nowNanos);
            pooled.requestStatus(() -> {});
        } else {
            release(pooled);
        }
    }

    void onOpenFailed(OpenFailure reason, Opening opening) {
        long nowNanos = context.clock().nanoTime();
        if (reason == OpenFailure.CONNECTION_LIMIT) {
            statistics.onRefused();
            share =
                    share.onRefused(
                            opening.startedNanos(), nowNanos, context.jitter().getAsDouble());
        } else {
            share = share.onFailed(nowNanos);
        }
        detector.onOpenFailed(
                entry,
                reason,
                connections.silence(nowNanos, lastResponseNanos()),
                connections.size());
        failDeferredCommands();
        if (share.quota().isElastic()) {
            context.clock().schedule(group::dispatch, share.backoff(nowNanos));
            group.dispatch();
        }
    }

    private void failDeferredCommands() {
        if (openings.isEmpty()) {
            controlCommands.failWaiting();
        }
    }

    void closeSilentConnections(long nowNanos) {
        connections.silentFor(CLOSE_AFTER_SILENCE, nowNanos).forEach(PoolEntry::discard);
    }

    private void closeIdleConnections(long nowNanos) {
        for (PoolEntry idle : connections.expired(share, detector.needsProbe(), nowNanos)) {
            share = share.onIdleClosed();
            idle.discardIfIdle();
        }
    }

    private void retireAll() {
        List<PoolEntry> idle = connections.idle().toList();
        connections.all().forEach(PoolEntry::markRetired);
        idle.forEach(PoolEntry::discard);
    }
}
