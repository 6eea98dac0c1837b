package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.freshness.ClockReading;
import org.carobstage.freshness.PrimaryPositionHistory;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ConnectionAdmission.Capacity;
import org.carobstage.upstream.InstanceConnection.StatusResponse;

/** The instances of one service: their pools, which one leads, and who waits for a connection. */
public final class ServiceGroup {
    /** Evidence of this age is renewed by a question; most comes with the answers to statements. */
    private static final Duration EVIDENCE_INTERVAL = Duration.ofMillis(1_000);

    /** The interval of questions to instances that answer no statements; each costs a slot. */
    private static final Duration QUIET_INTERVAL = Duration.ofMillis(15_000);

    /** Without requests for this long, evidence is not kept fresh. */
    private static final Duration UNUSED = Duration.ofMillis(5_000);

    /** The interval of status questions while no leader is known. */
    private static final Duration SEARCH_INTERVAL = Duration.ofMillis(100);

    /** The pause before a primary that was too busy to prove its lead is asked again. */
    private static final Duration PROOF_PAUSE = Duration.ofMillis(20);

    private final ServiceName name;
    private final UpstreamContext context;
    private final Map<InstanceId, InstanceConnectionPool> pools = new TreeMap<>();
    private final LeaderTracker leader;
    private final ConnectionAdmission admission;
    private LogPosition lastAcknowledgedPosition = LogPosition.empty();
    private long requestedNanos;
    private int setConnectionLimit = 1;
    private int members = 1;
    private Optional<InstanceId> fenced = Optional.empty();
    private final ReadIndexQueue proofs = ReadIndexQueue.empty();

    private ServiceGroup(ServiceName name, UpstreamContext context) {
        this.name = name;
        this.context = context;
        this.requestedNanos = context.clock().nanoTime();
        this.leader = new LeaderTracker(name, context, this::dispatch);
        this.admission = new ConnectionAdmission(leader.recoveryEstimate());
    }

    /**
     * Creates a group without instances.
     *
     * @param name the service
     * @param context what all pools share
     * @return the group
     */
    public static ServiceGroup of(ServiceName name, UpstreamContext context) {
        return new ServiceGroup(
                requireNonNull(name, "name is null"), requireNonNull(context, "context is null"));
    }

    /**
     * Returns the service.
     *
     * @return its name
     */
    public ServiceName name() {
        return name;
    }

    /**
     * Returns which instance leads, as far as it is known.
     *
     * @return the leadership
     */
    public Leadership leadership() {
        return leader.leadership();
    }

    /**
     * Returns the evidence of the primary's positions.
     *
     * @return the positions
     */
    public PrimaryPositionHistory primaryPositions() {
        return leader.primaryPositions();
    }

    /**
     * Returns the registered instances.
     *
     * @return their entries
     */
    public List<InstanceEntry> instances() {
        return pools.values().stream().map(InstanceConnectionPool::entry).toList();
    }

    /**
     * Tells whether an instance that stays is left for a statement.
     *
     * @param avoid the instances that it can't go to
     * @return false if only the primary remains
     */
    public boolean hasOtherInstance(Set<InstanceId> avoid) {
        return pools.values().stream()
                .map(InstanceConnectionPool::entry)
                .anyMatch(e -> !e.draining() && !avoid.contains(e.id()));
    }

    /**
     * Returns the last status of an instance.
     *
     * @param id the instance
     * @return its status, if it was ever given
     */
    public Optional<InstanceStatus> status(InstanceId id) {
        return leader.status(id);
    }

    /**
     * Tells whether an instance does not answer this process.
     *
     * @param id the instance
     * @return true if it is suspected
     */
    public boolean isSuspected(InstanceId id) {
        return Optional.ofNullable(pools.get(id))
                .map(InstanceConnectionPool::isSuspected)
                .orElse(false);
    }

    /**
     * Returns the newest position of a commit that this process has acknowledged.
     *
     * @return the position
     */
    public LogPosition lastAcknowledgedPosition() {
        return lastAcknowledgedPosition;
    }

    /**
     * Notes a commit that is about to be acknowledged.
     *
     * @param position its position
     */
    public void recordAcknowledgedCommit(LogPosition position) {
        lastAcknowledgedPosition = lastAcknowledgedPosition.max(position);
    }

    /**
     * Adds an instance or replaces its entry.
     *
     * @param entry the entry
     */
    public void put(InstanceEntry entry) {
        InstanceConnectionPool pool = pools.get(entry.id());
        if (pool == null) {
            pool = new InstanceConnectionPool(this, context, entry);
            pool.setConnectionLimit(setConnectionLimit, members);
            pools.put(entry.id(), pool);
            pool.openIfAllowed();
            return;
        }
        boolean changedRole = pool.entry().primary() != entry.primary();
        pool.update(entry);
        if (changedRole) {
            pool.trySendControlCommand(new Statement.QueryStatus(), answer -> {});
        }
        dispatch();
    }

    /**
     * Removes an instance.
     *
     * @param id the instance
     */
    public void remove(InstanceId id) {
        Optional.ofNullable(pools.remove(id)).ifPresent(InstanceConnectionPool::close);
        leader.remove(id);
    }

    /**
     * Sets how many connections this process may have to each instance.
     *
     * @param connections the limit, at least 1
     * @param sharedBy how many processes share the instances
     */
    public void setConnectionLimit(int connections, int sharedBy) {
        setConnectionLimit = connections;
        members = sharedBy;
        pools.values().forEach(pool -> pool.setConnectionLimit(connections, sharedBy));
    }

    /**
     * Asks for a connection; the request is granted or refused at once or later.
     *
     * @param request the request
     */
    public void acquire(ConnectionRequest request) {
        requestedNanos = context.clock().nanoTime();
        admission
                .admit(request, capacity(), requestedNanos)
                .ifPresentOrElse(request.onRefused(), this::dispatch);
    }

    /**
     * Finds a position that covers every commit acknowledged before a moment. One question to the
     * primary serves all who ask before it is sent.
     *
     * @param since the moment
     * @param deadlineNanos the monotonic time at which the position is no longer needed
     * @param proven takes the position
     * @param refused takes the reason if no primary can prove its lead before the deadline
     */
    public void requestReadIndex(
            ClockReading since,
            long deadlineNanos,
            Consumer<LogPosition> proven,
            Consumer<String> refused) {
        proofs.add(since, deadlineNanos, proven, refused);
        settleProofs(false);
    }

    /**
     * Withdraws a request.
     *
     * @param request the request
     */
    public void cancel(ConnectionRequest request) {
        admission.cancel(request);
    }

    /**
     * Sends a statement that is answered with the status to an instance.
     *
     * @param id the instance
     * @param statement the statement
     * @param whenAnswered called once if the statement was sent
     * @return false if no connection is free
     */
    public boolean trySendControlCommand(
            InstanceId id, Statement statement, Consumer<StatusResponse> whenAnswered) {
        InstanceConnectionPool pool = pools.get(id);
        return pool != null && pool.trySendControlCommand(statement, whenAnswered);
    }

    /** Opens connections, asks for statuses and probes silent instances; called by a timer. */
    public void tick() {
        long now = context.clock().nanoTime();
        for (InstanceConnectionPool pool : List.copyOf(pools.values())) {
            pool.tick(now);
            if (isStatusDue(pool, now)) {
                pool.requestStatus(now);
            }
        }
        admission.rejectUnservable(capacity(), now);
        dispatch();
    }

    /** Forgets all waits, because the process itself did not run for a while. */
    public void resetTimersAfterPause() {
        pools.values().forEach(InstanceConnectionPool::resetTimersAfterPause);
    }

    /** Grants connections to those who wait, the earliest deadline first. */
    public void dispatch() {
        admission.assignConnections(context.clock().nanoTime(), this::grant);
    }

    /**
     * Tells whether a write may be sent to the primary. While commits go unanswered, only one at a
     * time is let through to see whether they are acknowledged again.
     *
     * @param instance the primary
     * @return false if the write would only wait or the primary is being replaced
     */
    public boolean tryAcquireWritePermission(InstanceId instance) {
        return !fenced.equals(Optional.of(instance))
                && leader.commitCircuitBreaker().tryAcquirePermission(context.clock().nanoTime());
    }

    /**
     * Notes that a commit or single write is sent.
     *
     * @return to be run when it is answered or given up
     */
    public CommitCircuitBreaker.InFlightCommit trackCommit() {
        return leader.commitCircuitBreaker().trackCommit(context.clock().nanoTime());
    }

    /**
     * Tells whether an answer to a write that was sent may still come.
     *
     * @return false if no acknowledgement is outstanding
     */
    public boolean hasPendingCommits() {
        return leader.commitCircuitBreaker().hasPendingCommits();
    }

    /**
     * Keeps statements for the primary from an instance that is being replaced.
     *
     * @param instance the instance, or nothing to end it
     */
    public void fence(Optional<InstanceId> instance) {
        boolean ends = fenced.isPresent() && instance.isEmpty();
        fenced = instance;
        if (ends) {
            dispatch();
        }
    }

    /** Asks every instance for its status. */
    public void requestAllStatuses() {
        pools.values()
                .forEach(p -> p.trySendControlCommand(new Statement.QueryStatus(), answer -> {}));
    }

    /**
     * Returns how many statements wait for a connection.
     *
     * @return the length of the queue
     */
    public int waitingCount() {
        return admission.waitingCount();
    }

    /**
     * Describes for a log line what a statement waited for.
     *
     * @return the primary, the length of the queue and the open connections
     */
    public String describe() {
        return "primary="
                + primaryPool().map(p -> p.entry().id().value()).orElse("none")
                + " waiting="
                + waitingCount()
                + " connections="
                + openConnectionCount();
    }

    /**
     * Returns how many connections are open.
     *
     * @return the connections to all instances
     */
    public int openConnectionCount() {
        return pools.values().stream().mapToInt(InstanceConnectionPool::openConnectionCount).sum();
    }

    void onLeadershipConfirmed(InstanceId id, LogPosition position, ClockReading asked) {
        leader.onLeadershipConfirmed(id, position, asked);
    }

    void onNotPrimary(InstanceId id) {
        if (leadership().isLeader(id)) {
            leader.onNotPrimary(id);
            requestAllStatuses();
        }
    }

    void status(InstanceId id, InstanceStatus status, ClockReading asked) {
        leader.status(id, status, asked);
    }

    boolean hasNoLeader() {
        return leadership().leader().isEmpty();
    }

    void onSuspicionChanged(InstanceEntry entry, boolean suspected, String reason) {
        leader.onSuspected(entry.id());
        record(
                suspected ? EventCode.INSTANCE_SUSPECTED : EventCode.INSTANCE_TRUSTED,
                "instance=" + entry.id() + " reason=" + reason);
    }

    void onConnectionsRefused(
            InstanceEntry entry, InstanceConnector.OpenFailure reason, int connections) {
        record(
                EventCode.CONNECTIONS_REFUSED,
                "instance=" + entry.id() + " reason=" + reason + " connections=" + connections);
    }

    private boolean isStatusDue(InstanceConnectionPool pool, long now) {
        if (hasNoLeader()) {
            return now - pool.statusRequestedNanos() >= SEARCH_INTERVAL.toNanos();
        }
        boolean used = now - requestedNanos < UNUSED.toNanos();
        if (used && leadership().isLeader(pool.entry().id())) {
            long evidence =
                    primaryPositions()
                            .newest()
                            .map(e -> e.requestedAt().monotonicNanos())
                            .orElse(pool.statusRequestedNanos());
            return now - Math.max(evidence, pool.statusRequestedNanos())
                    >= EVIDENCE_INTERVAL.toNanos();
        }
        return now - Math.max(pool.lastResponseNanos(), pool.statusRequestedNanos())
                >= QUIET_INTERVAL.toNanos();
    }

    private void askForProof(long deadlineNanos) {
        acquire(
                new ConnectionRequest(
                        ConnectionRequest.Purpose.PRIMARY,
                        Set.of(),
                        Map.of(),
                        deadlineNanos,
                        connection -> {
                            long asked = context.clock().nanoTime();
                            connection.requestStatus(() -> proofAnswered(asked));
                        },
                        proofs::failAll));
    }

    /** A busy primary proves nothing and is asked again after a pause. */
    private void proofAnswered(long asked) {
        if (primaryPositions()
                .newest()
                .filter(e -> e.requestedAt().monotonicNanos() - asked >= 0)
                .isPresent()) {
            settleProofs(true);
        } else {
            context.clock().schedule(() -> settleProofs(true), PROOF_PAUSE);
        }
    }

    private void settleProofs(boolean answered) {
        proofs.completeReady(primaryPositions().newest(), context.clock().nanoTime(), answered)
                .ifPresent(this::askForProof);
    }

    private Optional<PooledConnection> grant(ConnectionRequest waiter) {
        List<InstanceConnectionPool> admitting =
                InstanceSelector.rankByLatency(
                                usable(waiter).map(InstanceConnectionPool::toCandidate))
                        .stream()
                        .map(c -> pools.get(c.id()))
                        .filter(p -> waiter.pinsConnection() || p.canAcceptStatement())
                        .toList();
        Optional<PooledConnection> free =
                admitting.stream()
                        .map(p -> p.tryAcquire(waiter.sessionVariables()))
                        .flatMap(Optional::stream)
                        .findFirst();
        if (free.isEmpty()) {
            admitting.stream().findFirst().ifPresent(InstanceConnectionPool::openIfAllowed);
        } else if (waiter.pinsConnection()) {
            free.get().pin();
        }
        return free;
    }

    private Stream<InstanceConnectionPool> usable(ConnectionRequest request) {
        if (request.needsPrimary()) {
            return primaryPool().stream();
        }
        return pools.values().stream()
                .filter(p -> !request.excludedInstances().contains(p.entry().id()))
                .filter(p -> !p.entry().draining());
    }

    private Optional<InstanceConnectionPool> primaryPool() {
        return leadership()
                .leader()
                .filter(id -> !fenced.equals(Optional.of(id)))
                .map(pools::get)
                .filter(InstanceConnectionPool::isUsable);
    }

    private Capacity capacity() {
        return new Capacity(
                primaryPool().isPresent(),
                pools.values().stream().mapToInt(InstanceConnectionPool::statementLimit).sum(),
                serviceTime());
    }

    /** How long a statement takes at the quickest instance. */
    private Duration serviceTime() {
        return pools.values().stream()
                .map(InstanceConnectionPool::averageLatency)
                .min(Duration::compareTo)
                .orElse(Duration.ZERO);
    }

    private void record(EventCode code, String detail) {
        context.events().record(code, EventScope.of(GroupId.of(name.value())), detail);
    }
}
