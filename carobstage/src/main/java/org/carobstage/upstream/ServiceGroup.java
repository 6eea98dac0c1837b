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

/** The instances of one service: their pools, the leader and the queue for connections. */
public final class ServiceGroup {
    /** Age at which the primary's position is renewed; most come with results of statements. */
    private static final Duration POSITION_INTERVAL = Duration.ofMillis(1_000);

    /** The interval of status queries to instances that run no statements; each takes a slot. */
    private static final Duration STATUS_INTERVAL = Duration.ofMillis(15_000);

    /** Time without requests after which the position is no longer kept recent. */
    private static final Duration UNUSED_AFTER = Duration.ofMillis(5_000);

    /** The interval of status queries while no leader is known. */
    private static final Duration SEARCH_INTERVAL = Duration.ofMillis(100);

    /** The delay before a primary that was too busy to confirm its leadership is queried again. */
    private static final Duration POSITION_RETRY_DELAY = Duration.ofMillis(20);

    private final ServiceName name;
    private final UpstreamContext context;
    private final Map<InstanceId, InstanceConnectionPool> pools = new TreeMap<>();
    private final LeaderTracker leader;
    private final ConnectionAdmission admission;
    private LogPosition lastAcknowledgedPosition = LogPosition.empty();
    private long lastRequestNanos;
    private int connectionLimit = 1;
    private int processCount = 1;
    private Optional<InstanceId> fencedInstance = Optional.empty();
    private final ReadIndexQueue reads = ReadIndexQueue.empty();

    private ServiceGroup(ServiceName name, UpstreamContext context) {
        this.name = name;
        this.context = context;
        this.lastRequestNanos = context.clock().nanoTime();
        this.leader = new LeaderTracker(name, context, this::dispatch);
        this.admission = new ConnectionAdmission(leader.recoveryEstimate());
    }

    /**
     * Creates a group without instances.
     *
     * @param name the service
     * @param context the context that all pools share
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
     * Returns which instance leads, if known.
     *
     * @return the leadership
     */
    public Leadership leadership() {
        return leader.leadership();
    }

    /**
     * Returns the observed positions of the primary.
     *
     * @return their history
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
     * Returns whether an instance that is not draining remains for a statement.
     *
     * @param excludedInstances the instances that can't run the statement
     * @return false if there is none
     */
    public boolean hasOtherInstance(Set<InstanceId> excludedInstances) {
        return pools.values().stream()
                .map(InstanceConnectionPool::entry)
                .anyMatch(e -> !e.draining() && !excludedInstances.contains(e.id()));
    }

    /**
     * Returns the last reported status of an instance.
     *
     * @param id the instance
     * @return its status, if it has ever reported one
     */
    public Optional<InstanceStatus> status(InstanceId id) {
        return leader.status(id);
    }

    /**
     * Returns whether the failure detector of this process suspects an instance.
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
     * @return the position, the lowest one before the first commit
     */
    public LogPosition lastAcknowledgedPosition() {
        return lastAcknowledgedPosition;
    }

    /**
     * Records a commit that is about to be acknowledged.
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
            pool.setConnectionLimit(connectionLimit, processCount);
            pools.put(entry.id(), pool);
            pool.openIfAllowed();
            return;
        }
        boolean roleChanged = pool.entry().primary() != entry.primary();
        pool.update(entry);
        if (roleChanged) {
            pool.trySendControlCommand(new Statement.QueryStatus(), response -> {});
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
     * @param limit the number of connections, at least 1
     * @param sharedBy how many processes share the instances
     */
    public void setConnectionLimit(int limit, int sharedBy) {
        connectionLimit = limit;
        processCount = sharedBy;
        pools.values().forEach(pool -> pool.setConnectionLimit(limit, sharedBy));
    }

    /**
     * Requests a connection; the request is granted or rejected at once or later.
     *
     * @param request the request
     */
    public void acquire(ConnectionRequest request) {
        lastRequestNanos = context.clock().nanoTime();
        admission
                .admit(request, capacity(), lastRequestNanos)
                .ifPresentOrElse(request.onRejected(), this::dispatch);
    }

    /**
     * Finds a position that covers all commits acknowledged before a time; calls share one query.
     *
     * @param since the time
     * @param deadlineNanos the monotonic time in ns after which the call may end without a callback
     * @param onPosition receives the position
     * @param onRejected receives the reason if no primary can confirm its leadership in time
     */
    public void requestReadIndex(
            ClockReading since,
            long deadlineNanos,
            Consumer<LogPosition> onPosition,
            Consumer<String> onRejected) {
        reads.add(since, deadlineNanos, onPosition, onRejected);
        completeReads(false);
    }

    /**
     * Cancels a request.
     *
     * @param request the request
     */
    public void cancel(ConnectionRequest request) {
        admission.cancel(request);
    }

    /**
     * Sends a control command to an instance.
     *
     * @param id the instance
     * @param statement the control command
     * @param callback called once if the command was sent
     * @return false if no connection is idle
     */
    public boolean trySendControlCommand(
            InstanceId id, Statement statement, Consumer<StatusResponse> callback) {
        InstanceConnectionPool pool = pools.get(id);
        return pool != null && pool.trySendControlCommand(statement, callback);
    }

    /** Opens connections, queries statuses and probes silent instances; called by a timer. */
    public void tick() {
        long nowNanos = context.clock().nanoTime();
        for (InstanceConnectionPool pool : List.copyOf(pools.values())) {
            pool.tick(nowNanos);
            if (isStatusDue(pool, nowNanos)) {
                pool.requestStatus(nowNanos);
            }
        }
        admission.rejectUnservable(capacity(), nowNanos);
        dispatch();
    }

    /** Restarts the timeouts of all instances after this process was paused. */
    public void resetTimersAfterPause() {
        pools.values().forEach(InstanceConnectionPool::resetTimersAfterPause);
    }

    /** Grants connections to the waiting requests, the earliest deadline first. */
    public void dispatch() {
        admission.assignConnections(context.clock().nanoTime(), this::grant);
    }

    /**
     * Returns whether a write may be sent to the primary; during a stall only periodic probes may.
     *
     * @param instance the primary
     * @return false if commits are stalled or the primary is being replaced
     */
    public boolean tryAcquireWritePermission(InstanceId instance) {
        return !fencedInstance.equals(Optional.of(instance))
                && leader.commitCircuitBreaker().tryAcquirePermission(context.clock().nanoTime());
    }

    /**
     * Records that a commit or single write is sent.
     *
     * @return the commit, to be completed or abandoned
     */
    public CommitCircuitBreaker.InFlightCommit trackCommit() {
        return leader.commitCircuitBreaker().trackCommit(context.clock().nanoTime());
    }

    /**
     * Returns whether the result of a write that was sent may still arrive.
     *
     * @return false if no commit is pending
     */
    public boolean hasPendingCommits() {
        return leader.commitCircuitBreaker().hasPendingCommits();
    }

    /**
     * Stops sending statements for the primary to an instance that is being replaced.
     *
     * @param instance the instance, or empty to end the fencing
     */
    public void fence(Optional<InstanceId> instance) {
        boolean unfenced = fencedInstance.isPresent() && instance.isEmpty();
        fencedInstance = instance;
        if (unfenced) {
            dispatch();
        }
    }

    /** Queries the status of every instance. */
    public void requestAllStatuses() {
        pools.values()
                .forEach(p -> p.trySendControlCommand(new Statement.QueryStatus(), response -> {}));
    }

    /**
     * Returns how many statements wait for a connection.
     *
     * @return the queue length
     */
    public int waitingCount() {
        return admission.waitingCount();
    }

    /**
     * Describes the state of the group for a log line about a statement that waited.
     *
     * @return the primary, the queue length and the number of open connections
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

    void onLeadershipConfirmed(InstanceId id, LogPosition position, ClockReading requestedAt) {
        leader.onLeadershipConfirmed(id, position, requestedAt);
    }

    void onNotPrimary(InstanceId id) {
        if (leadership().isLeader(id)) {
            leader.onNotPrimary(id);
            requestAllStatuses();
        }
    }

    void onStatus(InstanceId id, InstanceStatus status, ClockReading requestedAt) {
        leader.onStatus(id, status, requestedAt);
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

    void onConnectionsRefused(InstanceEntry entry, InstanceConnector.OpenFailure reason, int open) {
        record(
                EventCode.CONNECTIONS_REFUSED,
                "instance=" + entry.id() + " reason=" + reason + " connections=" + open);
    }

    private boolean isStatusDue(InstanceConnectionPool pool, long nowNanos) {
        if (hasNoLeader()) {
            return nowNanos - pool.statusRequestedNanos() >= SEARCH_INTERVAL.toNanos();
        }
        boolean inUse = nowNanos - lastRequestNanos < UNUSED_AFTER.toNanos();
        if (inUse && leadership().isLeader(pool.entry().id())) {
            long positionNanos =
                    primaryPositions()
                            .newest()
                            .map(e -> e.requestedAt().monotonicNanos())
                            .orElse(pool.statusRequestedNanos());
            return nowNanos - Math.max(positionNanos, pool.statusRequestedNanos())
                    >= POSITION_INTERVAL.toNanos();
        }
        return nowNanos - Math.max(pool.lastResponseNanos(), pool.statusRequestedNanos())
                >= STATUS_INTERVAL.toNanos();
    }

    private void requestPosition(long deadlineNanos) {
        acquire(
                new ConnectionRequest(
                        ConnectionRequest.Purpose.PRIMARY,
                        Set.of(),
                        Map.of(),
                        deadlineNanos,
                        connection -> {
                            long requestedAtNanos = context.clock().nanoTime();
                            connection.requestStatus(() -> onPositionResponse(requestedAtNanos));
                        },
                        reads::failAll));
    }

    /** Retries after a delay if a busy primary has not confirmed its leadership. */
    private void onPositionResponse(long requestedAtNanos) {
        if (primaryPositions()
                .newest()
                .filter(e -> e.requestedAt().monotonicNanos() - requestedAtNanos >= 0)
                .isPresent()) {
            completeReads(true);
        } else {
            context.clock().schedule(() -> completeReads(true), POSITION_RETRY_DELAY);
        }
    }

    private void completeReads(boolean responded) {
        reads.completeReady(primaryPositions().newest(), context.clock().nanoTime(), responded)
                .ifPresent(this::requestPosition);
    }

    private Optional<PooledConnection> grant(ConnectionRequest request) {
        List<InstanceConnectionPool> accepting =
                InstanceSelector.rankByLatency(
                                usablePools(request).map(InstanceConnectionPool::toCandidate))
                        .stream()
                        .map(c -> pools.get(c.id()))
                        .filter(p -> request.pinsConnection() || p.canAcceptStatement())
                        .toList();
        Optional<PooledConnection> connection =
                accepting.stream()
                        .map(p -> p.tryAcquire(request.sessionVariables()))
                        .flatMap(Optional::stream)
                        .findFirst();
        if (connection.isEmpty()) {
            accepting.stream().findFirst().ifPresent(InstanceConnectionPool::openIfAllowed);
        } else if (request.pinsConnection()) {
            connection.get().pin();
        }
        return connection;
    }

    private Stream<InstanceConnectionPool> usablePools(ConnectionRequest request) {
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
                .filter(id -> !fencedInstance.equals(Optional.of(id)))
                .map(pools::get)
                .filter(InstanceConnectionPool::isUsable);
    }

    private Capacity capacity() {
        return new Capacity(
                primaryPool().isPresent(),
                pools.values().stream().mapToInt(InstanceConnectionPool::statementLimit).sum(),
                serviceTime());
    }

    /** Returns the average statement latency of the fastest instance. */
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
