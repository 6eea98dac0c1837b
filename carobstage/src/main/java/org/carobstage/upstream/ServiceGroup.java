package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
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
import org.carobstage.freshness.PrimaryPositions.Evidence;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
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

    /** How long a change of the primary takes from its loss: detection, order and promotion. */
    private static final Duration PROMOTION_TIME = Duration.ofMillis(1_700);

    /** How long finding the new primary takes once the old one says that it has been replaced. */
    private static final Duration HANDOVER_TIME = Duration.ofMillis(200);

    /** How long finding the primary takes after a start: a connection to each instance. */
    private static final Duration START_TIME = Duration.ofMillis(500);

    /** A primary that is this much later than expected may stay away for long. */
    private static final Duration OVERDUE = Duration.ofMillis(500);

    /** Waiting statements for each one admitted; at 30 to 50 ms each they wait 240 to 400 ms. */
    private static final int WAITERS_PER_STATEMENT = 8;

    private static final int MIN_WAITERS = 32;

    private final ServiceName name;
    private final UpstreamContext context;
    private final Map<InstanceId, InstancePool> pools = new TreeMap<>();
    private final Map<InstanceId, InstanceStatus> statuses = new TreeMap<>();
    private final PrimaryPositions positions = PrimaryPositions.empty();
    private final List<ConnectionRequest> waiters = new ArrayList<>();
    private CommitBreaker commits = CommitBreaker.empty();
    private Leadership leadership = Leadership.empty();
    private LogPosition acknowledged = LogPosition.empty();
    private long primaryExpected;
    private long requestedNanos;
    private int limit = 1;
    private int members = 1;
    private final List<Proof> proofs = new ArrayList<>();
    private boolean proving;
    private boolean dispatching;
    private boolean dispatchAgain;

    private ServiceGroup(ServiceName name, UpstreamContext context) {
        this.name = name;
        this.context = context;
        this.requestedNanos = context.clock().nanoTime();
        expectPrimaryIn(START_TIME);
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
        return leadership;
    }

    /**
     * Returns the evidence of the primary's positions.
     *
     * @return the positions
     */
    public PrimaryPositions positions() {
        return positions;
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
     * Returns the last status of an instance.
     *
     * @param id the instance
     * @return its status, if it was ever given
     */
    public Optional<InstanceStatus> status(InstanceId id) {
        return Optional.ofNullable(statuses.get(id));
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
        statuses.remove(id);
        setLeadership(leadership.refused(id), "the instance is gone");
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
        Optional<String> refusal = refusal(request);
        if (refusal.isPresent()) {
            request.refused().accept(refusal.get());
            return;
        }
        int at = waiters.size();
        while (at > 0 && waiters.get(at - 1).deadlineNanos() - request.deadlineNanos() > 0) {
            at--;
        }
        waiters.add(at, request);
        dispatch();
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
        proofs.add(new Proof(since, deadlineNanos, proven, refused));
        settleProofs();
    }

    /**
     * Withdraws a request.
     *
     * @param request the request
     */
    public void cancel(ConnectionRequest request) {
        waiters.removeIf(w -> w == request);
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
        refuseHopeless();
        dispatch();
    }

    /** Forgets all waits, because the process itself did not run for a while. */
    public void resumeAfterPause() {
        pools.values().forEach(InstancePool::resumeAfterPause);
    }

    /** Grants connections to those who wait, the earliest deadline first. */
    public void dispatch() {
        if (dispatching) {
            dispatchAgain = true;
            return;
        }
        dispatching = true;
        do {
            dispatchAgain = false;
            for (ConnectionRequest waiter : List.copyOf(waiters)) {
                grant(waiter);
            }
        } while (dispatchAgain);
        dispatching = false;
    }

    /**
     * Tells whether a write may be sent to the primary. While commits go unanswered, only one at a
     * time is let through to see whether they are acknowledged again.
     *
     * @return false if the write would only wait
     */
    public boolean acceptsWrites() {
        return commits.accepts(context.clock().nanoTime());
    }

    /**
     * Notes that a commit or single write is sent.
     *
     * @return to be run when it is answered or given up
     */
    public CommitBreaker.Ticket commitSent() {
        return commits.sent(context.clock().nanoTime());
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
        return waiters.size();
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
        setLeadership(leadership.leads(id, position.term()), "it ran a statement as primary");
        if (leadership.isLeader(id)) {
            positions.add(position, asked, Moment.of(context.clock()));
        }
    }

    void refusedAsPrimary(InstanceId id) {
        if (leadership.isLeader(id)) {
            setLeadership(leadership.refused(id), "it refused a statement as replica");
            askAll();
        }
    }

    void status(InstanceId id, InstanceStatus status, Moment asked) {
        statuses.put(id, status);
        if (status.primary()) {
            setLeadership(leadership.leads(id, status.term()), "its status says so");
            if (leadership.isLeader(id)) {
                positions.add(status.received(), asked, Moment.of(context.clock()));
            }
        } else {
            setLeadership(leadership.follows(id, status.term()), "its status says replica");
        }
    }

    boolean lacksLeader() {
        return leadership.leader().isEmpty();
    }

    void suspicionChanged(InstanceEntry entry, boolean suspected, String reason) {
        if (leadership.isLeader(entry.id())) {
            expectPrimaryIn(PROMOTION_TIME);
        }
        record(
                suspected ? EventCode.INSTANCE_SUSPECTED : EventCode.INSTANCE_TRUSTED,
                "instance=" + entry.id() + " reason=" + reason);
    }

    private boolean isStatusDue(InstancePool pool, long now) {
        if (leadership.leader().isEmpty()) {
            return now - pool.askedNanos() >= SEARCH_INTERVAL.toNanos();
        }
        boolean used = now - requestedNanos < UNUSED.toNanos();
        if (used && leadership.isLeader(pool.entry().id())) {
            long evidence =
                    positions.newest().map(e -> e.asked().nanos()).orElse(pool.askedNanos());
            return now - Math.max(evidence, pool.askedNanos()) >= EVIDENCE_INTERVAL.toNanos();
        }
        return now - Math.max(pool.heardNanos(), pool.askedNanos()) >= QUIET_INTERVAL.toNanos();
    }

    private void settleProofs() {
        Optional<Evidence> newest = positions.newest();
        long now = context.clock().nanoTime();
        List<Proof> settled =
                proofs.stream().filter(p -> newest.filter(e -> p.isMetBy(e)).isPresent()).toList();
        proofs.removeAll(settled);
        proofs.removeIf(p -> now - p.deadlineNanos() >= 0);
        settled.forEach(p -> p.proven().accept(newest.orElseThrow().position()));
        if (!proofs.isEmpty() && !proving) {
            proving = true;
            long deadline = proofs.stream().mapToLong(Proof::deadlineNanos).max().orElse(now);
            acquire(
                    new ConnectionRequest(
                            ConnectionRequest.Use.PRIMARY,
                            Set.of(),
                            Map.of(),
                            deadline,
                            connection -> connection.askStatus(this::proofAnswered),
                            this::proofRefused));
        }
    }

    private void proofAnswered() {
        proving = false;
        settleProofs();
    }

    private void proofRefused(String reason) {
        proving = false;
        List<Proof> refused = List.copyOf(proofs);
        proofs.clear();
        refused.forEach(p -> p.refused().accept(reason));
    }

    private void grant(ConnectionRequest waiter) {
        if (!waiters.contains(waiter)) {
            return;
        }
        List<InstancePool> candidates =
                InstanceChoice.order(usable(waiter).map(InstancePool::candidate)).stream()
                        .map(c -> pools.get(c.id()))
                        .toList();
        List<InstancePool> admitting =
                candidates.stream()
                        .filter(p -> waiter.pinsConnection() || p.admitsStatement())
                        .toList();
        for (InstancePool pool : admitting) {
            Optional<PooledConnection> connection = pool.take(waiter.values());
            if (connection.isPresent()) {
                waiters.removeIf(w -> w == waiter);
                if (waiter.pinsConnection()) {
                    connection.get().pin();
                }
                waiter.granted().accept(connection.get());
                return;
            }
        }
        admitting.stream().findFirst().ifPresent(InstancePool::openIfAllowed);
    }

    private Stream<InstancePool> usable(ConnectionRequest request) {
        if (request.needsPrimary()) {
            return leadership.leader().map(pools::get).stream();
        }
        Collection<InstancePool> all = pools.values();
        boolean othersDrain = all.stream().anyMatch(p -> !p.entry().draining());
        return all.stream()
                .filter(p -> !request.avoid().contains(p.entry().id()))
                .filter(p -> !othersDrain || !p.entry().draining());
    }

    private Optional<String> refusal(ConnectionRequest request) {
        int admitted = pools.values().stream().mapToInt(InstancePool::statementLimit).sum();
        int most = Math.max(MIN_WAITERS, WAITERS_PER_STATEMENT * admitted);
        if (waiters.size() >= most) {
            return Optional.of("queue of " + waiters.size() + " is full");
        }
        return hopeless(request) ? Optional.of(unavailable()) : Optional.empty();
    }

    private void refuseHopeless() {
        List<ConnectionRequest> hopeless = waiters.stream().filter(this::hopeless).toList();
        waiters.removeAll(hopeless);
        hopeless.forEach(w -> w.refused().accept(unavailable()));
    }

    private boolean hopeless(ConnectionRequest request) {
        if (!request.needsPrimary()) {
            return false;
        }
        Optional<InstanceId> leader = leadership.leader();
        boolean absent = leader.isEmpty() || isSuspected(leader.get());
        boolean overdue = context.clock().nanoTime() - primaryExpected > OVERDUE.toNanos();
        return absent && (overdue || request.deadlineNanos() - primaryExpected < 0);
    }

    private void expectPrimaryIn(Duration time) {
        primaryExpected = context.clock().nanoTime() + time.toNanos();
    }

    private String unavailable() {
        long millis = (primaryExpected - context.clock().nanoTime()) / 1_000_000;
        long retryAfter = millis > 0 ? millis : PROMOTION_TIME.toMillis();
        return "no primary, retry after " + retryAfter + " ms";
    }

    private void setLeadership(Leadership next, String reason) {
        if (next.equals(leadership)) {
            return;
        }
        boolean changed = !next.leader().equals(leadership.leader());
        leadership = next;
        if (!changed) {
            return;
        }
        commits = CommitBreaker.empty();
        if (next.leader().isEmpty()) {
            expectPrimaryIn(HANDOVER_TIME);
        }
        record(
                EventCode.PRIMARY_KNOWN,
                "primary="
                        + next.leader().map(InstanceId::value).orElse("none")
                        + " term="
                        + next.term()
                        + " reason="
                        + reason);
        dispatch();
    }

    private void record(EventCode code, String detail) {
        context.events().record(code, EventScope.of(GroupId.of(name.value())), detail);
    }

    /** A wish for a position that covers every commit acknowledged before a moment. */
    private record Proof(
            Moment since,
            long deadlineNanos,
            Consumer<LogPosition> proven,
            Consumer<String> refused) {
        private boolean isMetBy(Evidence evidence) {
            return evidence.asked().nanos() - since.nanos() >= 0
                    && evidence.asked().epochNanos() - since.epochNanos() >= 0;
        }
    }
}
