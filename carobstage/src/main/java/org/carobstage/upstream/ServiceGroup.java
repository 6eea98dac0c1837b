package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.freshness.ClockReading;
import org.carobstage.freshness.PositionQuorum;
import org.carobstage.freshness.PrimaryPositionHistory;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.InstanceConnection.StatusResponse;

/** The instances of one service: their pools, the leader and the queue for connections. */
public final class ServiceGroup {
    private final ServiceName name;
    private final UpstreamContext context;
    private final InstancePools pools = InstancePools.empty();
    private final LeaderTracker leader;
    private final ConnectionDispatcher connections;
    private final StandbyConnections standby;
    private final PrimaryCertainty certainty;
    private long lastRequestNanos;
    private final StepDownCommands stepDown;
    private Optional<InstanceId> fencedInstance = Optional.empty();
    private final ReadIndexService readIndex;
    private final StatusSchedule schedule;

    private ServiceGroup(ServiceName name, UpstreamContext context) {
        this.name = name;
        this.context = context;
        this.lastRequestNanos = context.clock().nanoTime();
        this.stepDown = StepDownCommands.of(this, context);
        this.leader = new LeaderTracker(name, context, this::onLeadershipChanged);
        this.certainty = new PrimaryCertainty(leader, pools, this::primaryPool);
        this.standby = StandbyConnections.of(pools, context.domain());
        this.schedule = new StatusSchedule(leader, pools);
        this.connections =
                new ConnectionDispatcher(
                        context, name, pools, this::primaryPool, leader.recoveryEstimate());
        this.readIndex =
                new ReadIndexService(
                        context.clock(),
                        leader.quorum(),
                        new StatusQueries(
                                pools,
                                this::primaryPool,
                                connections::request,
                                connections::cancel));
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
     * Returns whether the primary is known and responds.
     *
     * @return false while statements for the primary have to wait
     */
    public boolean hasUsablePrimary() {
        return primaryPool().isPresent();
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
        return pools.entries();
    }

    /**
     * Returns whether an instance that is not draining remains for a statement.
     *
     * @param excludedInstances the instances that can't run the statement
     * @return false if there is none
     */
    public boolean hasOtherInstance(Set<InstanceId> excludedInstances) {
        return pools.hasOther(excludedInstances);
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
        return pools.find(id).filter(InstanceConnectionPool::isSuspected).isPresent();
    }

    /**
     * Returns the positions that the instances report and what they confirm.
     *
     * @return the quorum
     */
    public PositionQuorum quorum() {
        return leader.quorum();
    }

    /**
     * Returns the newest position that this process may have acknowledged.
     *
     * @return the position, the lowest one before the first commit
     */
    public LogPosition lastAcknowledgedPosition() {
        return leader.acknowledgedCommits().newest();
    }

    /**
     * Records a commit that is about to be acknowledged.
     *
     * @param position its position
     */
    public void recordAcknowledgedCommit(LogPosition position) {
        leader.acknowledgedCommits().record(position);
    }

    /**
     * Adds an instance or replaces its entry.
     *
     * @param entry the entry
     */
    public void put(InstanceEntry entry) {
        standby.onChange();
        Optional<InstanceConnectionPool> known = pools.find(entry.id());
        if (known.isEmpty()) {
            leader.add(entry);
            pools.add(new InstanceConnectionPool(this, context, entry)).openWarmConnection();
            certainty.update();
            return;
        }
        InstanceConnectionPool pool = known.get();
        if (pool.entry().bornMillis() != entry.bornMillis()) {
            leader.add(entry);
        }
        boolean roleChanged = pool.entry().primary() != entry.primary();
        pool.update(entry);
        certainty.update();
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
        standby.onChange();
        pools.remove(id);
        leader.remove(id);
        certainty.update();
    }

    /**
     * Sets how many connections this process may have to each instance.
     *
     * @param limit the number of connections, at least 1
     * @param sharedBy how many processes share the instances
     */
    public void setConnectionLimit(int limit, int sharedBy) {
        setConnectionQuota(ConnectionQuota.fixed(limit, sharedBy));
    }

    /**
     * Sets how many connections this process may have to each instance.
     *
     * @param quota the quota
     */
    public void setConnectionQuota(ConnectionQuota quota) {
        if (quota.belowOne() != pools.quota().belowOne()
                || quota.accountsInUse() != pools.quota().accountsInUse()) {
            record(EventCode.CONNECTION_SHARING_CHANGED, quota.toString());
        }
        if (!quota.equals(pools.quota())) {
            standby.onChange();
        }
        pools.setQuota(quota);
    }

    /**
     * Returns the counts of what happened to the connections to the present instances.
     *
     * @return the counts
     */
    public PoolCounters connectionCounters() {
        return pools.counters();
    }

    /**
     * Requests a connection; the request is granted or rejected at once or later.
     *
     * @param request the request
     */
    public void acquire(ConnectionRequest request) {
        lastRequestNanos = context.clock().nanoTime();
        connections.request(request);
    }

    /**
     * Returns whether the known primary is certain not to have been replaced.
     *
     * @return the certainty
     */
    public PrimaryCertainty primaryCertainty() {
        return certainty;
    }

    /**
     * Finds a position that covers all commits acknowledged before a time; calls share one query.
     *
     * @param since the time
     * @param deadlineNanos the monotonic time in ns after which the call may end without a callback
     * @param primaryQueried whether the caller itself sends the primary a statement whose result
     *     reports the primary's position
     * @param onPosition receives the position
     * @param onRejected receives the reason if too few instances respond to confirm a position
     */
    public void requestReadIndex(
            ClockReading since,
            long deadlineNanos,
            boolean primaryQueried,
            Consumer<PrimaryPositionHistory.ObservedPosition> onPosition,
            Consumer<String> onRejected) {
        lastRequestNanos = context.clock().nanoTime();
        readIndex.request(since, deadlineNanos, primaryQueried, onPosition, onRejected);
    }

    /**
     * Cancels a request.
     *
     * @param request the request
     */
    public void cancel(ConnectionRequest request) {
        connections.cancel(request);
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
        return pools.find(id)
                .filter(pool -> pool.trySendControlCommand(statement, callback))
                .isPresent();
    }

    /** Opens connections, queries statuses and probes silent instances; called by a timer. */
    public void tick() {
        long nowNanos = context.clock().nanoTime();
        certainty.update();
        standby.update(leadership().leader());
        for (InstanceConnectionPool pool : pools.all()) {
            pool.tick(nowNanos);
            if (schedule.isStatusDue(pool, nowNanos)) {
                pool.requestStatus(nowNanos);
            }
        }
        pools.closeSilentRemoved(nowNanos);
        if (schedule.isPositionDue(lastRequestNanos, nowNanos)) {
            readIndex.refresh();
        }
        connections.rejectUnservable();
        dispatch();
    }

    /** Restarts the timeouts of all instances after this process was paused. */
    public void resetTimersAfterPause() {
        pools.resetTimersAfterPause();
    }

    /** Grants connections to the waiting requests, the earliest deadline first. */
    public void dispatch() {
        connections.dispatch();
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
    public TrackedCommit trackCommit() {
        return leader.trackCommit();
    }

    /**
     * Returns the writes that may be acknowledged after the newest known position.
     *
     * @return the writes in flight and those whose outcome is unknown
     */
    public PendingWrites pendingWrites() {
        return new PendingWrites(pools, leader.acknowledgedCommits());
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
        pools.all()
                .forEach(p -> p.trySendControlCommand(new Statement.QueryStatus(), response -> {}));
    }

    /**
     * Returns how many statements wait for a connection.
     *
     * @return the queue length
     */
    public int waitingCount() {
        return connections.waitingCount();
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
        return pools.openConnectionCount();
    }

    /** Grants a new connection to the first waiting request of its account. */
    void offer(PoolEntry connection) {
        connections.offer(connection);
    }

    void onLeadershipConfirmed(InstanceId id, LogPosition position, ClockReading requestedAt) {
        leader.onLeadershipConfirmed(id, position, requestedAt);
        readIndex.completeReads();
    }

    void onNotPrimary(InstanceId id) {
        if (leadership().isLeader(id)) {
            leader.onNotPrimary(id);
            requestAllStatuses();
        }
    }

    void onStatus(InstanceId id, InstanceStatus status, ClockReading requestedAt) {
        leader.onStatus(id, status, requestedAt);
        if (leader.isReplacedPrimary(id)) {
            stepDown.request(id);
        }
        readIndex.completeReads();
    }

    void onSuspicionChanged(InstanceEntry entry, boolean suspected, String reason) {
        leader.onSuspected(entry.id());
        certainty.update();
        record(
                suspected ? EventCode.INSTANCE_SUSPECTED : EventCode.INSTANCE_TRUSTED,
                "instance=" + entry.id() + " reason=" + reason);
    }

    void onResponse(InstanceId id) {
        leader.quorum().markRunning(id, ClockReading.now(context.clock()));
    }

    void onConnectionReset(InstanceId id) {
        leader.quorum().markStopped(id, ClockReading.now(context.clock()));
    }

    void onCallbackFailed(InstanceId id, RuntimeException failure) {
        record(EventCode.CALLBACK_FAILED, "instance=" + id + " failure=" + failure);
    }

    void onConnectionsRefused(InstanceEntry entry, InstanceConnector.OpenFailure reason, int open) {
        record(
                EventCode.CONNECTIONS_REFUSED,
                "instance=" + entry.id() + " reason=" + reason + " connections=" + open);
    }

    private void onLeadershipChanged() {
        certainty.update();
        standby.onChange();
        dispatch();
    }

    private Optional<InstanceConnectionPool> primaryPool() {
        return leadership()
                .leader()
                .filter(id -> !fencedInstance.equals(Optional.of(id)))
                .flatMap(pools::find)
                .filter(InstanceConnectionPool::isUsable);
    }

    private void record(EventCode code, String detail) {
        context.events().record(code, EventScope.of(GroupId.of(name.value())), detail);
    }
}
