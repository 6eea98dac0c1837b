package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventCode;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreWrite;
import org.carobstage.upstream.ServiceGroup;

/**
 * Decides when the primary of a service is replaced: when most processes report that it does not
 * answer them, or when it is about to stop.
 */
public final class FailoverCoordinator {
    /** Processes that must agree when they are just half of the fleet. */
    private static final int MIN_HALF = 2;

    /** Spaces the attempts of the processes to take the lease. */
    private static final Duration RANK_DELAY = Duration.ofMillis(250);

    /** The pause before a vote that could not be written is tried again. */
    private static final Duration VOTE_AGAIN = Duration.ofMillis(500);

    /** The pause after a replacement before the next one of the same service. */
    private static final Duration PAUSE = Duration.ofMillis(1_000);

    /** A replica that is still stopped this long after the lease ended is left over. */
    private static final Duration LEFT_OVER = Duration.ofMillis(4_000);

    /**
     * The interval at which one process asks the replicas whether they are stopped; with {@link
     * #LEFT_OVER} it keeps them within 8 s of a failover that nobody saw end.
     */
    private static final Duration ASK_REPLICAS = Duration.ofMillis(3_000);

    private final FailoverContext context;
    private final Map<ServiceName, State> states = new TreeMap<>();
    private final Map<ServiceName, Map<VmId, Vote>> votes = new HashMap<>();
    private final Map<ServiceName, VmId> holders = new HashMap<>();
    private final Set<ServiceName> ended = new HashSet<>();

    private FailoverCoordinator(FailoverContext context) {
        this.context = context;
    }

    /**
     * Creates a coordinator.
     *
     * @param context what failovers share
     * @return the coordinator
     */
    public static FailoverCoordinator of(FailoverContext context) {
        return new FailoverCoordinator(requireNonNull(context, "context is null"));
    }

    /**
     * Takes over a vote or lease from the store.
     *
     * @param item the changed key; others are ignored
     */
    public void onStoreChange(StoreEntry item) {
        if (item.key().startsWith(FailoverKeys.LEASE_PREFIX)) {
            ServiceName service =
                    ServiceName.of(item.key().substring(FailoverKeys.LEASE_PREFIX.length()));
            item.value()
                    .ifPresentOrElse(
                            vm -> holders.put(service, VmId.of(vm)), () -> leaseEnded(service));
        } else if (item.key().startsWith(FailoverKeys.VOTE_PREFIX)) {
            voted(item);
        }
    }

    /**
     * Looks at every service; called by a timer.
     *
     * @param groups the services
     * @param members the processes of the fleet
     * @param lease the lease of this process's membership, which its votes end with
     */
    public void tick(List<ServiceGroup> groups, Set<VmId> members, Optional<LeaseId> lease) {
        groups.forEach(group -> tick(group, members, lease));
    }

    private void tick(ServiceGroup group, Set<VmId> members, Optional<LeaseId> lease) {
        State state = states.computeIfAbsent(group.name(), n -> new State(context, n));
        Optional<InstanceId> primary = primary(group);
        Optional<InstanceId> dead = primary.filter(group::isSuspected);
        vote(group, state, dead, lease);
        if (ended.remove(group.name())) {
            group.requestAllStatuses();
        }
        boolean leaving =
                primary.flatMap(id -> find(group, id)).map(InstanceEntry::draining).orElse(false);
        boolean agreed =
                dead.isPresent()
                        && isEnough(support(group.name(), dead.get(), members), members.size());
        long now = context.clock().nanoTime();
        if (!leaving && !agreed) {
            state.wantedSince = Optional.empty();
            askReplicas(group, state, members, now);
            resumeLeftOver(group, state, now);
            return;
        }
        state.stoppedSince = Optional.empty();
        if (state.wantedSince.isEmpty()) {
            state.wantedSince = Optional.of(now);
        }
        boolean ready = now - state.notBefore >= 0 && !state.running;
        boolean mine = state.lease.isHeld();
        boolean turn = now - state.wantedSince.get() >= delay(group.name(), members);
        if (ready && (mine || turn && !holders.containsKey(group.name()))) {
            start(group, state, primary.get(), dead.isEmpty(), members);
        }
    }

    /** Half is enough, but not one of two or three, which may be cut off itself. */
    private static boolean isEnough(long support, int members) {
        return support * 2 > members || support * 2 == members && support >= MIN_HALF;
    }

    private void start(
            ServiceGroup group, State state, InstanceId old, boolean planned, Set<VmId> members) {
        state.running = true;
        state.lease.acquire(
                fence ->
                        new Failover(
                                        context,
                                        group,
                                        old,
                                        planned,
                                        fence,
                                        () -> acknowledged(group, old, members),
                                        ordered -> ended(state, ordered))
                                .start(),
                () -> ended(state, false));
    }

    private void ended(State state, boolean ordered) {
        state.running = false;
        state.lease.release(ordered);
        state.notBefore = context.clock().nanoTime() + PAUSE.toNanos();
    }

    /** The known leader or, if none is known, the instance that registered as primary. */
    private static Optional<InstanceId> primary(ServiceGroup group) {
        return group.leadership()
                .leader()
                .or(
                        () ->
                                group.instances().stream()
                                        .filter(InstanceEntry::primary)
                                        .map(InstanceEntry::id)
                                        .findFirst());
    }

    private static Optional<InstanceEntry> find(ServiceGroup group, InstanceId id) {
        return group.instances().stream().filter(e -> e.id().equals(id)).findFirst();
    }

    /**
     * Votes against a primary that does not answer, and withdraws the vote when it answers again.
     * While a vote may stand no write goes to that primary, since a failover counts on what the
     * votes say was acknowledged.
     */
    private void vote(
            ServiceGroup group, State state, Optional<InstanceId> dead, Optional<LeaseId> lease) {
        if (state.casting || context.clock().nanoTime() - state.voteNotBefore < 0) {
            return;
        }
        if (dead.isEmpty()) {
            withdraw(group, state);
        } else if (lease.isPresent()) {
            Optional<LogPosition> acknowledged =
                    Optional.of(group.lastAcknowledgedPosition())
                            .filter(p -> !group.hasPendingCommits());
            Ballot ballot = new Ballot(new Vote(dead.get(), acknowledged), lease.get());
            if (!state.ballot.equals(Optional.of(ballot))) {
                cast(group, state, ballot);
            }
        }
    }

    private void cast(ServiceGroup group, State state, Ballot ballot) {
        group.fence(Optional.of(ballot.vote().primary()));
        String text = ballot.vote().format();
        context.record(EventCode.REPLACEMENT_VOTE, group.name(), text);
        state.casting = true;
        context.store()
                .write(
                        StoreWrite.put(
                                FailoverKeys.vote(group.name(), context.vm()),
                                text,
                                ballot.lease()),
                        reply -> {
                            state.casting = false;
                            state.mayStand |= !(reply instanceof StoreResponse.Refused<Long>);
                            if (reply instanceof StoreResponse.Success<Long>) {
                                state.ballot = Optional.of(ballot);
                            } else {
                                voteAgainLater(state);
                            }
                        });
    }

    /** The store refuses the withdrawal while a failover is under way. */
    private void withdraw(ServiceGroup group, State state) {
        if (!state.mayStand) {
            group.fence(Optional.empty());
            return;
        }
        if (holders.containsKey(group.name())) {
            return;
        }
        context.record(EventCode.REPLACEMENT_VOTE, group.name(), "withdrawn");
        state.casting = true;
        context.store()
                .write(
                        StoreWrite.deleteUnlessExists(
                                FailoverKeys.vote(group.name(), context.vm()),
                                FailoverKeys.lease(group.name())),
                        reply -> {
                            state.casting = false;
                            if (reply instanceof StoreResponse.Success<Long>) {
                                state.mayStand = false;
                                state.ballot = Optional.empty();
                                group.fence(Optional.empty());
                            } else {
                                voteAgainLater(state);
                            }
                        });
    }

    private void voteAgainLater(State state) {
        state.ballot = Optional.empty();
        state.voteNotBefore = context.clock().nanoTime() + VOTE_AGAIN.toNanos();
    }

    /** The holder may have died and left replicas stopped, so they are asked. */
    private void leaseEnded(ServiceName service) {
        holders.remove(service);
        ended.add(service);
    }

    private void voted(StoreEntry item) {
        String[] parts = item.key().substring(FailoverKeys.VOTE_PREFIX.length()).split("/");
        if (parts.length != 2) {
            return;
        }
        Map<VmId, Vote> ofService =
                votes.computeIfAbsent(ServiceName.of(parts[0]), n -> new TreeMap<>());
        VmId vm = VmId.of(parts[1]);
        item.value()
                .flatMap(Vote::parse)
                .ifPresentOrElse(vote -> ofService.put(vm, vote), () -> ofService.remove(vm));
    }

    private long support(ServiceName service, InstanceId primary, Set<VmId> members) {
        return votes.getOrDefault(service, Map.of()).entrySet().stream()
                .filter(e -> members.contains(e.getKey()))
                .filter(e -> e.getValue().primary().equals(primary))
                .count();
    }

    /**
     * Returns the newest commit that any process may have acknowledged, if all have told. A vote
     * that was withdrawn before the lease was taken is known to be once the lease itself is seen.
     */
    private Optional<LogPosition> acknowledged(
            ServiceGroup group, InstanceId primary, Set<VmId> members) {
        Map<VmId, Vote> ofService = votes.getOrDefault(group.name(), Map.of());
        boolean all =
                members.stream()
                        .allMatch(
                                m ->
                                        Optional.ofNullable(ofService.get(m))
                                                .filter(v -> v.primary().equals(primary))
                                                .isPresent());
        boolean upToDate = context.vm().equals(holders.get(group.name()));
        boolean known =
                ofService.values().stream().allMatch(v -> v.acknowledgedPosition().isPresent());
        return all && known && upToDate
                ? ofService.values().stream()
                        .map(v -> v.acknowledgedPosition().get())
                        .reduce(LogPosition::max)
                : Optional.empty();
    }

    private long delay(ServiceName service, Set<VmId> members) {
        return RANK_DELAY.toNanos() * Math.max(0, rank(service, members));
    }

    /** The place of this process in an order that all processes agree on; -1 if not a member. */
    private int rank(ServiceName service, Set<VmId> members) {
        List<VmId> order = new ArrayList<>(members);
        order.sort(
                (a, b) ->
                        Integer.compare(
                                (service + "/" + a).hashCode(), (service + "/" + b).hashCode()));
        return order.indexOf(context.vm());
    }

    /** Only one process asks, as each question takes a slot. */
    private void askReplicas(ServiceGroup group, State state, Set<VmId> members, long now) {
        boolean due = now - state.askedNanos >= ASK_REPLICAS.toNanos();
        if (due && rank(group.name(), members) == 0) {
            state.askedNanos = now;
            group.instances().stream()
                    .map(InstanceEntry::id)
                    .filter(id -> !group.leadership().isLeader(id))
                    .forEach(
                            id ->
                                    group.trySendControlCommand(
                                            id, new Statement.QueryStatus(), answer -> {}));
        }
    }

    private void resumeLeftOver(ServiceGroup group, State state, long now) {
        List<InstanceId> stopped =
                group.instances().stream()
                        .map(InstanceEntry::id)
                        .filter(id -> !group.leadership().isLeader(id))
                        .filter(id -> group.status(id).filter(this::isStopped).isPresent())
                        .toList();
        if (stopped.isEmpty() || state.running || holders.containsKey(group.name())) {
            state.stoppedSince = Optional.empty();
        } else if (state.stoppedSince.isEmpty()) {
            state.stoppedSince = Optional.of(now);
        } else if (now - state.stoppedSince.get() >= LEFT_OVER.toNanos()) {
            state.stoppedSince = Optional.empty();
            stopped.forEach(
                    id ->
                            group.trySendControlCommand(
                                    id, new Statement.ResumeReplication(), answer -> {}));
            context.record(EventCode.INSTANCE_REJOINED, group.name(), "resumed=" + stopped);
        }
    }

    private boolean isStopped(InstanceStatus status) {
        return status.pausedTerm().isAfter(Term.ZERO);
    }

    /** A vote as it stands in the store, and the lease that it ends with. */
    private record Ballot(Vote vote, LeaseId lease) {}

    /** What this process knows and does about one service. */
    private static final class State {
        private final FailoverLease lease;
        private Optional<Ballot> ballot = Optional.empty();
        private Optional<Long> wantedSince = Optional.empty();
        private Optional<Long> stoppedSince = Optional.empty();
        private long askedNanos;
        private long notBefore;
        private long voteNotBefore;
        private boolean casting;
        private boolean mayStand;
        private boolean running;

        private State(FailoverContext context, ServiceName service) {
            this.lease = new FailoverLease(context, service);
            this.notBefore = context.clock().nanoTime();
            this.askedNanos = notBefore;
            this.voteNotBefore = notBefore;
        }
    }
}
