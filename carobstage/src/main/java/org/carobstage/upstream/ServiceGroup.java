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
import org.carobstage.freshness.Moment;
import org.carobstage.freshness.PrimaryPositions;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ConnectionAdmission.Capacity;
import org.carobstage.upstream.InstanceConnection.StatusAnswer;

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
    private final Map<InstanceId, InstancePool> pools = new TreeMap<>();
    private final LeaderTracker leader;
    private final ConnectionAdmission admission;
    private LogPosition acknowledged = LogPosition.empty();
    private long requestedNanos;
    private int limit = 1;
    private int members = 1;
    private Optional<InstanceId> fenced = Optional.empty();
    private final LeadProofs proofs = LeadProofs.empty();

    private ServiceGroup(ServiceName name, UpstreamContext context) {
        this.name = name;
        this.context = context;
        this.requestedNanos = context.clock().nanoTime();
        this.leader = new LeaderTracker(name, context, this::dispatch);
        this.admission = new ConnectionAdmission(leader.outlook());
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
    public PrimaryPositions positions() {
        return leader.positions();
    }

    /**
     * Returns the registered instances.
     *
     * @return their entries
     */
    public List<InstanceEntry> instances() {
        return pools.values().stream().map(InstancePool::entry).toList();
    }

    /**
     * Tells whether an instance that stays is left for a statement.
     *
     * @param avoid the instances that it can't go to
     * @return false if only the primary remains
     */
    public boolean hasOthers(Set<InstanceId> avoid) {
        return pools.values().stream()
                .map(InstancePool::entry)
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
        return Optional.ofNullable(pools.get(id)).map(InstancePool::isSuspected).orElse(false);
    }

    /**
     * Returns the newest position of a commit that this process has acknowledged.
     *
     * @return the position
     */
    public LogPosition acknowledged() {
        return acknowledged;
    }

    /**
     * Notes a commit that is about to be acknowledged.
     *
     * @param position its position
     */
    public void acknowledge(LogPosition position) {
        acknowledged = acknowledged.max(position);
    }

    /**
     * Adds an instance or replaces its entry.
     *
     * @param entry the entry
     */
    public void put(InstanceEntry entry) {
        InstancePool pool = pools.get(entry.id());
        if (pool == null) {
            pool = new InstancePool(this, context, entry);
            pool.limit(limit, members);
            pools.put(entry.id(), pool);
            pool.openIfAllowed();
            return;
        }
        boolean changedRole = pool.entry().primary() != entry.primary();
        pool.update(entry);
        if (changedRole) {
            pool.order(new Statement.AskStatus(), answer -> {});
        }
        dispatch();
    }

    /**
     * Removes an instance.
     *
     * @param id the instance
     */
    public void remove(InstanceId id) {
        Optional.ofNullable(pools.remove(id)).ifPresent(InstancePool::close);
        leader.remove(id);
    }

    /**
     * Sets how many connections this process may have to each instance.
     *
     * @param connections the limit, at least 1
     * @param sharedBy how many processes share the instances
     */
    public void limit(int connections, int sharedBy) {
        limit = connections;
        members = sharedBy;
        pools.values().forEach(pool -> pool.limit(connections, sharedBy));
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
                .ifPresentOrElse(request.refused(), this::dispatch);
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
    public void proveLead(
            Moment since,
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
    public boolean order(InstanceId id, Statement statement, Consumer<StatusAnswer> whenAnswered) {
        InstancePool pool = pools.get(id);
        return pool != null && pool.order(statement, whenAnswered);
    }

    /** Opens connections, asks for statuses and probes silent instances; called by a timer. */
    public void tick() {
        long now = context.clock().nanoTime();
        for (InstancePool pool : List.copyOf(pools.values())) {
            pool.tick(now);
            if (isStatusDue(pool, now)) {
                pool.askStatus(now);
            }
        }
        admission.review(capacity(), now);
        dispatch();
    }

    /** Forgets all waits, because the process itself did not run for a while. */
    public void resumeAfterPause() {
        pools.values().forEach(InstancePool::resumeAfterPause);
    }

    /** Grants connections to those who wait, the earliest deadline first. */
    public void dispatch() {
        admission.offerAll(context.clock().nanoTime(), this::grant);
    }

    /**
     * Tells whether a write may be sent to the primary. While commits go unanswered, only one at a
     * time is let through to see whether they are acknowledged again.
     *
     * @param instance the primary
     * @return false if the write would only wait or the primary is being replaced
     */
    public boolean acceptsWrites(InstanceId instance) {
        return !fenced.equals(Optional.of(instance))
                && leader.commits().accepts(context.clock().nanoTime());
    }

    /**
     * Notes that a commit or single write is sent.
     *
     * @return to be run when it is answered or given up
     */
    public CommitBreaker.Ticket commitSent() {
        return leader.commits().sent(context.clock().nanoTime());
    }

    /**
     * Tells whether an answer to a write that was sent may still come.
     *
     * @return false if no acknowledgement is outstanding
     */
    public boolean awaitsCommits() {
        return leader.commits().awaits();
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
    public void askAll() {
        pools.values().forEach(p -> p.order(new Statement.AskStatus(), answer -> {}));
    }

    /**
     * Returns how many statements wait for a connection.
     *
     * @return the length of the queue
     */
    public int waiting() {
        return admission.size();
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
                + waiting()
                + " connections="
                + openConnections();
    }

    /**
     * Returns how many connections are open.
     *
     * @return the connections to all instances
     */
    public int openConnections() {
        return pools.values().stream().mapToInt(InstancePool::openConnections).sum();
    }

    void provedLead(InstanceId id, LogPosition position, Moment asked) {
        leader.provedLead(id, position, asked);
    }

    void refusedAsPrimary(InstanceId id) {
        if (leadership().isLeader(id)) {
            leader.refused(id);
            askAll();
        }
    }

    void status(InstanceId id, InstanceStatus status, Moment asked) {
        leader.status(id, status, asked);
    }

    boolean lacksLeader() {
        return leadership().leader().isEmpty();
    }

    void suspicionChanged(InstanceEntry entry, boolean suspected, String reason) {
        leader.suspected(entry.id());
        record(
                suspected ? EventCode.INSTANCE_SUSPECTED : EventCode.INSTANCE_TRUSTED,
                "instance=" + entry.id() + " reason=" + reason);
    }

    void connectionsRefused(
            InstanceEntry entry, InstanceConnector.OpenFailure reason, int connections) {
        record(
                EventCode.CONNECTIONS_REFUSED,
                "instance=" + entry.id() + " reason=" + reason + " connections=" + connections);
    }

    private boolean isStatusDue(InstancePool pool, long now) {
        if (lacksLeader()) {
            return now - pool.askedNanos() >= SEARCH_INTERVAL.toNanos();
        }
        boolean used = now - requestedNanos < UNUSED.toNanos();
        if (used && leadership().isLeader(pool.entry().id())) {
            long evidence =
                    positions().newest().map(e -> e.asked().nanos()).orElse(pool.askedNanos());
            return now - Math.max(evidence, pool.askedNanos()) >= EVIDENCE_INTERVAL.toNanos();
        }
        return now - Math.max(pool.heardNanos(), pool.askedNanos()) >= QUIET_INTERVAL.toNanos();
    }

    private void askForProof(long deadlineNanos) {
        acquire(
                new ConnectionRequest(
                        ConnectionRequest.Use.PRIMARY,
                        Set.of(),
                        Map.of(),
                        deadlineNanos,
                        connection -> {
                            long asked = context.clock().nanoTime();
                            connection.askStatus(() -> proofAnswered(asked));
                        },
                        proofs::refuse));
    }

    /** A busy primary proves nothing and is asked again after a pause. */
    private void proofAnswered(long asked) {
        if (positions().newest().filter(e -> e.asked().nanos() - asked >= 0).isPresent()) {
            settleProofs(true);
        } else {
            context.clock().schedule(() -> settleProofs(true), PROOF_PAUSE);
        }
    }

    private void settleProofs(boolean answered) {
        proofs.settle(positions().newest(), context.clock().nanoTime(), answered)
                .ifPresent(this::askForProof);
    }

    private Optional<PooledConnection> grant(ConnectionRequest waiter) {
        List<InstancePool> admitting =
                InstanceChoice.order(usable(waiter).map(InstancePool::candidate)).stream()
                        .map(c -> pools.get(c.id()))
                        .filter(p -> waiter.pinsConnection() || p.admitsStatement())
                        .toList();
        Optional<PooledConnection> free =
                admitting.stream()
                        .map(p -> p.take(waiter.values()))
                        .flatMap(Optional::stream)
                        .findFirst();
        if (free.isEmpty()) {
            admitting.stream().findFirst().ifPresent(InstancePool::openIfAllowed);
        } else if (waiter.pinsConnection()) {
            free.get().pin();
        }
        return free;
    }

    private Stream<InstancePool> usable(ConnectionRequest request) {
        if (request.needsPrimary()) {
            return primaryPool().stream();
        }
        return pools.values().stream()
                .filter(p -> !request.avoid().contains(p.entry().id()))
                .filter(p -> !p.entry().draining());
    }

    private Optional<InstancePool> primaryPool() {
        return leadership()
                .leader()
                .filter(id -> !fenced.equals(Optional.of(id)))
                .map(pools::get)
                .filter(InstancePool::isUsable);
    }

    private Capacity capacity() {
        return new Capacity(
                primaryPool().isPresent(),
                pools.values().stream().mapToInt(InstancePool::statementLimit).sum(),
                serviceTime());
    }

    /** How long a statement takes at the quickest instance. */
    private Duration serviceTime() {
        return pools.values().stream()
                .map(InstancePool::latency)
                .min(Duration::compareTo)
                .orElse(Duration.ZERO);
    }

    private void record(EventCode code, String detail) {
        context.events().record(code, EventScope.of(GroupId.of(name.value())), detail);
    }
}
