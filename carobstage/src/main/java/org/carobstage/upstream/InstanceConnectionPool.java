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

/** The connections of this process to one instance, and whether the instance is alive. */
final class InstanceConnectionPool {
    /** A primary that drains is used until it is replaced, but not beyond its shortest notice. */
    private static final Duration DRAIN_LIMIT = Duration.ofMillis(6_000);

    /** Connections kept open without demand; opening one takes tens of ms and a slot. */
    private static final int WARM = 1;

    /** How long opening may take; a full instance answers a new connection within its queue. */
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(400);

    /** The pause after a failed attempt to open a connection. */
    private static final Duration OPEN_PAUSE = Duration.ofMillis(150);

    /** Failures to open in a row, without an answer in between, that make a suspicion. */
    private static final int FAILURES_TO_SUSPECT = 2;

    /** Silence after which a new connection probes the instance: beyond a full queue's wait. */
    private static final Duration PROBE_AFTER = Duration.ofMillis(300);

    /** Silence of a connection, while others answer, after which it is closed. */
    private static final Duration SILENCE_TO_CLOSE = Duration.ofMillis(2_500);

    /**
     * Connections beyond the warm ones are closed after this idle time, to leave room to others.
     */
    private static final Duration IDLE = Duration.ofMillis(1_000);

    /**
     * Statements that all processes together keep at an instance, for each of its slots: one runs
     * while the next is under way.
     */
    private static final int STATEMENTS_PER_SLOT = 2;

    /** The weight of the newest latency in the moving average. */
    private static final double NEWEST_WEIGHT = 0.2;

    /** The latency assumed before the first answer, in ms. */
    private static final double INITIAL_LATENCY = 20;

    private final ServiceGroup group;
    private final UpstreamContext context;
    private final List<PooledConnection> connections = new ArrayList<>();
    private InstanceEntry entry;
    private int setConnectionLimit = 1;
    private int members = 1;
    private int opening;
    private int failures;
    private long openNotBefore;
    private long lastResponseNanos;
    private long drainingSince;
    private long statusRequestedNanos;
    private boolean suspected;
    private boolean closed;
    private boolean refused;
    private double latencyMillis = INITIAL_LATENCY;

    InstanceConnectionPool(ServiceGroup group, UpstreamContext context, InstanceEntry entry) {
        this.group = requireNonNull(group, "group is null");
        this.context = requireNonNull(context, "context is null");
        this.entry = requireNonNull(entry, "entry is null");
        this.openNotBefore = context.clock().nanoTime();
        this.lastResponseNanos = openNotBefore;
        this.drainingSince = openNotBefore;
        this.statusRequestedNanos = openNotBefore - TimeUnit.HOURS.toNanos(1);
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

    /** Replaces the entry; connections to an earlier address or life are closed once unused. */
    void update(InstanceEntry newer) {
        boolean moved =
                !newer.address().equals(entry.address())
                        || newer.bornMillis() != entry.bornMillis();
        if (newer.draining() && !entry.draining()) {
            drainingSince = context.clock().nanoTime();
        }
        entry = newer;
        if (moved) {
            retireAll();
            failures = 0;
            openNotBefore = context.clock().nanoTime();
        }
    }

    void setConnectionLimit(int connectionLimit, int sharedBy) {
        setConnectionLimit = connectionLimit;
        members = sharedBy;
        while (connections.size() > setConnectionLimit) {
            Optional<PooledConnection> free =
                    connections.stream().filter(c -> !c.isBusy()).findFirst();
            if (free.isEmpty()) {
                break;
            }
            free.get().discard();
        }
    }

    void close() {
        closed = true;
        retireAll();
    }

    InstanceSelector.Candidate toCandidate() {
        return new InstanceSelector.Candidate(
                entry.id(),
                entry.domain().equals(context.domain()),
                suspected,
                entry.draining(),
                running(),
                entry.slots(),
                latencyMillis);
    }

    /** How long statements take, as a moving average. */
    Duration averageLatency() {
        return Duration.ofNanos((long) (latencyMillis * 1e6));
    }

    /** Tells whether the instance answers and has not been draining for too long. */
    boolean isUsable() {
        boolean left =
                entry.draining()
                        && context.clock().nanoTime() - drainingSince > DRAIN_LIMIT.toNanos();
        return !suspected && !left;
    }

    /** How many statements outside transactions this process keeps at the instance. */
    int statementLimit() {
        return 1 + (STATEMENTS_PER_SLOT * entry.slots() + members - 1) / members;
    }

    /** Tells whether the instance may be sent another statement outside a transaction. */
    boolean canAcceptStatement() {
        return connections.stream().filter(c -> c.isBusy() && !c.isPinned()).count()
                < statementLimit();
    }

    /** Takes a free connection, the one whose values fit best. */
    Optional<PooledConnection> tryAcquire(Map<String, String> values) {
        Optional<PooledConnection> free =
                connections.stream()
                        .filter(c -> !c.isBusy())
                        .max(Comparator.comparingInt(c -> fit(c, values)));
        free.ifPresent(PooledConnection::markBusy);
        return free;
    }

    /** Opens a connection if the limit and the pause after a failure allow it. */
    void openIfAllowed() {
        long now = context.clock().nanoTime();
        if (!closed
                && connections.size() + opening < setConnectionLimit
                && now - openNotBefore >= 0) {
            open();
        }
    }

    long statusRequestedNanos() {
        return statusRequestedNanos;
    }

    long lastResponseNanos() {
        return lastResponseNanos;
    }

    void tick(long now) {
        if (connections.size() + opening < Math.min(WARM, setConnectionLimit)) {
            openIfAllowed();
        }
        closeSilent(now);
        closeIdle(now);
        Duration silence = silence(now);
        if (silence.compareTo(PROBE_AFTER) > 0 && opening == 0 && now - openNotBefore >= 0) {
            open();
        }
    }

    void requestStatus(long now) {
        if (trySendControlCommand(new Statement.QueryStatus(), answer -> {})) {
            statusRequestedNanos = now;
        }
    }

    /** Forgets all waits, because the process itself did not run for a while. */
    void resetTimersAfterPause() {
        ClockReading now = now();
        lastResponseNanos = now.monotonicNanos();
        failures = 0;
        connections.stream().filter(c -> c.sentAt().isPresent()).forEach(c -> c.setSentAt(now));
    }

    void onAnswer(
            PooledConnection connection,
            Statement statement,
            Optional<StatementResult> answer,
            ClockReading asked) {
        if (answer.isEmpty()) {
            return;
        }
        heard();
        StatementResult a = answer.get();
        if (a.hasFailureCode(FailureCode.NOT_PRIMARY)) {
            group.onNotPrimary(entry.id());
        } else if (a.isSuccessful() && provesLead(statement)) {
            a.logPosition().ifPresent(p -> group.onLeadershipConfirmed(entry.id(), p, asked));
        }
        if (statement instanceof Statement.Read || statement instanceof Statement.Execute) {
            double took = asked.age(now()).toNanos() / 1e6;
            latencyMillis += NEWEST_WEIGHT * (took - latencyMillis);
        }
    }

    void release(PooledConnection connection) {
        connection.markIdle(context.clock().nanoTime());
        if (connection.isRetired() || connections.size() > setConnectionLimit) {
            connection.discard();
        } else {
            group.dispatch();
        }
    }

    void removeConnection(PooledConnection connection) {
        connections.remove(connection);
        group.dispatch();
    }

    /** Sends a statement that is answered with the status, on a free connection. */
    boolean trySendControlCommand(Statement statement, Consumer<StatusResponse> whenAnswered) {
        Optional<PooledConnection> free = tryAcquire(Map.of());
        free.ifPresent(c -> sendControlCommand(c, statement, whenAnswered));
        return free.isPresent();
    }

    /** Sends such a statement on a connection, which is given back with the answer. */
    void sendControlCommand(
            PooledConnection connection,
            Statement statement,
            Consumer<StatusResponse> whenAnswered) {
        ClockReading asked = now();
        connection.setSentAt(asked);
        connection
                .delegate()
                .sendControlCommand(
                        statement,
                        answer -> {
                            connection.setSentAt(null);
                            if (answer.hasAnswer()) {
                                heard();
                            }
                            answer.status().ifPresent(s -> group.status(entry.id(), s, asked));
                            whenAnswered.accept(answer);
                            if (connection.isOpen()) {
                                release(connection);
                            }
                        });
    }

    int openConnectionCount() {
        return connections.size();
    }

    private int running() {
        return (int) connections.stream().filter(PooledConnection::isBusy).count();
    }

    private static int fit(PooledConnection connection, Map<String, String> values) {
        if (connection.sessionVariables().equals(values)) {
            return 2;
        }
        return values.keySet().containsAll(connection.sessionVariables().keySet()) ? 1 : 0;
    }

    private static boolean provesLead(Statement statement) {
        return statement instanceof Statement.Write
                || statement instanceof Statement.Begin begin && !begin.isReadOnly();
    }

    private void open() {
        opening++;
        PooledConnection pooled = new PooledConnection(this);
        InstanceEntry target = entry;
        context.connector()
                .connect(
                        target,
                        OPEN_TIMEOUT,
                        InstanceConnector.Listener.of(
                                connection -> opened(pooled, connection, target),
                                this::openFailed,
                                () -> {
                                    pooled.markLost();
                                    removeConnection(pooled);
                                }));
    }

    private void opened(PooledConnection pooled, InstanceConnection connection, InstanceEntry at) {
        opening--;
        refused = false;
        pooled.attach(connection);
        connections.add(pooled);
        if (closed || !at.address().equals(entry.address())) {
            pooled.discard();
            return;
        }
        heard();
        if (group.hasNoLeader()) {
            pooled.markBusy();
            pooled.requestStatus(() -> {});
        } else {
            release(pooled);
        }
    }

    private void openFailed(OpenFailure reason) {
        opening--;
        long now = context.clock().nanoTime();
        openNotBefore = now + OPEN_PAUSE.toNanos();
        boolean alive = reason == OpenFailure.CONNECTION_LIMIT || reason == OpenFailure.REFUSED;
        if (alive) {
            heard();
            if (!refused) {
                refused = true;
                group.onConnectionsRefused(entry, reason, connections.size());
            }
            return;
        }
        failures++;
        boolean silent = reason == OpenFailure.NO_ANSWER && silence(now).compareTo(PROBE_AFTER) > 0;
        if ((silent || failures >= FAILURES_TO_SUSPECT) && !suspected) {
            suspected = true;
            group.onSuspicionChanged(
                    entry, true, reason + ", silent for " + silence(now).toMillis());
        }
    }

    private void heard() {
        lastResponseNanos = context.clock().nanoTime();
        failures = 0;
        if (suspected) {
            suspected = false;
            group.onSuspicionChanged(entry, false, "it answered");
        }
    }

    /** How long the oldest question has waited while nothing was heard from the instance. */
    private Duration silence(long now) {
        return connections.stream()
                .map(PooledConnection::sentAt)
                .flatMap(Optional::stream)
                .map(sent -> now - Math.max(sent.monotonicNanos(), lastResponseNanos))
                .max(Comparator.naturalOrder())
                .map(Duration::ofNanos)
                .orElse(Duration.ZERO);
    }

    private void closeSilent(long now) {
        List<PooledConnection> silent =
                connections.stream()
                        .filter(c -> c.sentAt().isPresent())
                        .filter(
                                c ->
                                        now - c.sentAt().get().monotonicNanos()
                                                > SILENCE_TO_CLOSE.toNanos())
                        .toList();
        silent.forEach(PooledConnection::discard);
    }

    private void closeIdle(long now) {
        connections.stream()
                .filter(c -> !c.isBusy() && now - c.idleSinceNanos() > IDLE.toNanos())
                .skip(WARM)
                .toList()
                .forEach(PooledConnection::discard);
    }

    private void retireAll() {
        connections.forEach(PooledConnection::markRetired);
        connections.stream().filter(c -> !c.isBusy()).toList().forEach(PooledConnection::discard);
    }
}
