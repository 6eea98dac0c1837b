package org.carobstage.failover;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventCode;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreEntry;
import org.carobstage.upstream.ServiceGroup;

/**
 * Decides when to replace the primary of a service: when enough processes vote that it does not
 * respond, or when it is draining.
 */
public final class FailoverCoordinator {
    /** The minimum number of votes if exactly half of the processes voted. */
    private static final int MIN_TIE_VOTES = 2;

    /** The delay per rank, which staggers the attempts to acquire the lease. */
    private static final Duration LEASE_ATTEMPT_SPACING = Duration.ofMillis(250);

    /** The minimum time between two failovers of a service. */
    private static final Duration FAILOVER_COOLDOWN = Duration.ofMillis(1_000);

    /** Lets the lease expire and another process acquire it. */
    private static final Duration TURNED_AWAY_COOLDOWN = FailoverLease.TTL.plus(FAILOVER_COOLDOWN);

    /**
     * A process that has ended may have acknowledged commits that no vote covers. They matter if a
     * replica that is out of reach may still hold them.
     */
    private static final Duration DEPARTED_MEMBER_TIMEOUT = Duration.ofMillis(15_000);

    /** The time in which members and votes that a restored store has lost are written again. */
    private static final Duration RESTORE_GRACE_PERIOD = Duration.ofMillis(3_500);

    private final FailoverContext context;
    private final Map<ServiceName, State> states = new TreeMap<>();
    private final FailoverVotes votes = FailoverVotes.empty();
    private final StoredReplacement replacement;
    private final ObservedLeases leases;
    private final Set<ServiceName> servicesToQuery = new HashSet<>();
    private final MemberRanks ranks;

    /** By the monotonic clock, since a step of the time of day must not end the wait early. */
    private long membersStableSinceNanos;

    private boolean storeReachable = true;

    private FailoverCoordinator(FailoverContext context) {
        this.context = context;
        this.replacement = new StoredReplacement(context.clock(), votes);
        this.leases = new ObservedLeases(context);
        this.ranks = MemberRanks.of(context.vm());
        this.membersStableSinceNanos = context.clock().nanoTime();
    }

    /**
     * Creates a coordinator.
     *
     * @param context the dependencies that failovers share
     * @return the coordinator
     */
    public static FailoverCoordinator of(FailoverContext context) {
        requireNonNull(context, "context is null");
        FailoverCoordinator coordinator = new FailoverCoordinator(context);
        context.store().era().addListener(coordinator::onStoreRestored);
        return coordinator;
    }

    /**
     * Applies a change of a vote, lease, recorded promotion or replica set in the store.
     *
     * @param entry the changed entry; other entries are ignored
     */
    public void onStoreChange(StoreEntry entry) {
        if (entry.key().startsWith(FailoverKeys.LEASE_PREFIX)) {
            ServiceName service =
                    ServiceName.of(entry.key().substring(FailoverKeys.LEASE_PREFIX.length()));
            recordObserved(service, entry);
            state(service).lease.onStoreChange(entry);
            entry.value()
                    .ifPresentOrElse(
                            holder -> leases.put(service, entry), () -> onLeaseEnded(service));
        } else if (entry.key().startsWith(FailoverKeys.PROMOTION_PREFIX)) {
            ServiceName service =
                    ServiceName.of(entry.key().substring(FailoverKeys.PROMOTION_PREFIX.length()));
            recordObserved(service, entry);
            state(service).promotion.onStoreChange(entry);
            indicateReplacement(state(service));
        } else if (entry.key().startsWith(FailoverKeys.VOTE_PREFIX)) {
            applyVote(entry);
        } else if (entry.key().startsWith(FailoverKeys.REPLICAS_PREFIX)) {
            ServiceName service =
                    ServiceName.of(entry.key().substring(FailoverKeys.REPLICAS_PREFIX.length()));
            state(service).replicas.onStoreChange(entry);
        }
    }

    /**
     * Sets whether the store responds. Instances that are not registered remain in the replica set
     * of their service while it does not.
     *
     * @param reachable whether it responds; true initially
     */
    public void setStoreReachable(boolean reachable) {
        storeReachable = reachable;
    }

    /**
     * Adds a service before statements are sent to it. A vote that an earlier run on this VM has
     * left in the store fences its primary.
     *
     * @param group the service
     */
    public void add(ServiceGroup group) {
        State state = state(group.name());
        state.group = Optional.of(group);
        group.fence(state.vote.fencedPrimary());
        indicateReplacement(state);
    }

    /**
     * Notes that a process has been replaced by a new one on the same VM. The new one votes without
     * knowing which commits the former one has acknowledged.
     */
    public void onMemberRestarted() {
        membersStableSinceNanos = context.clock().nanoTime();
    }

    /**
     * Checks every service, and starts a failover where one is due; called periodically.
     *
     * @param groups the services
     * @param members the processes of the fleet
     * @param lease the lease of this process's membership, whose end deletes its votes; if empty,
     *     the process casts no vote
     */
    public void tick(List<ServiceGroup> groups, Set<VmId> members, Optional<LeaseId> lease) {
        if (ranks.setMembers(members)) {
            membersStableSinceNanos = context.clock().nanoTime();
        }
        groups.forEach(group -> tick(group, members, lease));
    }

    /**
     * Returns whether a primary is voted on, replaced, or due to be replaced.
     *
     * @return true if changes that other processes write may decide on a failover
     */
    public boolean isFailoverInProgress() {
        return !leases.isEmpty()
                || !votes.isEmpty()
                || states.values().stream().anyMatch(s -> s.failoverDueSince.isPresent());
    }

    /**
     * Discards what rests on the lost history. Members and votes may be missing, and votes that
     * were withdrawn may be back, so no failover starts until the processes have written them
     * again.
     */
    private void onStoreRestored(long era) {
        long nowNanos = context.clock().nanoTime();
        membersStableSinceNanos = nowNanos;
        replacement.onStoreRestored();
        states.values()
                .forEach(
                        state -> {
                            state.lease.onStoreRestored();
                            state.vote.onStoreRestored();
                            state.replicas.onStoreRestored();
                            state.postponeFailover(nowNanos + RESTORE_GRACE_PERIOD.toNanos());
                        });
    }

    private State state(ServiceName service) {
        return states.computeIfAbsent(service, n -> new State(context, n));
    }

    private void tick(ServiceGroup group, Set<VmId> members, Optional<LeaseId> lease) {
        State state = state(group.name());
        indicateReplacement(state);
        state.replicas.observe(group.instances(), storeReachable);
        group.quorum().setAbsent(state.replicas.absent(), ClockReading.now(context.clock()));
        group.quorum().setRegistryCurrent(storeReachable);
        state.drainedReplicas.query(group, ranks.isFirst(group.name()));
        state.replicas.update(lease.isPresent() && ranks.isFirst(group.name()));
        Optional<InstanceId> primary = findPrimary(group).or(() -> expiredPrimary(group, state));
        state.lastPrimary = primary.or(() -> state.lastPrimary);
        Optional<InstanceId> suspected =
                primary.filter(id -> group.isSuspected(id) || findInstance(group, id).isEmpty());
        boolean leaseObserved = leases.contains(group.name());
        boolean unfinished = isUnfinished(state, primary, leaseObserved);
        boolean agreed = primary.filter(p -> hasEnoughVotes(group, p, members)).isPresent();
        boolean replaced = unfinished || leaseObserved && agreed;
        if (suspected.isEmpty() && replaced) {
            state.vote.join(group, primary.get(), lease);
        } else {
            state.vote.update(
                    group, suspected, agreed || unfinished, lease, leaseObserved || unfinished);
        }
        if (ranks.isFirst(group.name())) {
            state.promotion.removeExpired();
        }
        Duration delay = Duration.ofNanos(leaseAttemptDelay(group.name()));
        leases.deleteVoid(group.name(), state.lease, delay);
        if (servicesToQuery.remove(group.name())) {
            group.requestAllStatuses();
        }
        boolean draining =
                primary.flatMap(id -> findInstance(group, id))
                        .map(InstanceEntry::draining)
                        .orElse(false);
        boolean replacementAgreed = suspected.isPresent() && agreed;
        long nowNanos = context.clock().nanoTime();
        if (!draining && !replacementAgreed && !unfinished) {
            state.failoverDueSince = Optional.empty();
            state.pausedReplicas.query(group, ranks.isFirst(group.name()));
            state.pausedReplicas.resume(
                    group, state.failoverRunning || leaseObserved || !storeReachable);
            return;
        }
        state.pausedReplicas.reset();
        if (state.failoverDueSince.isEmpty()) {
            state.failoverDueSince = Optional.of(nowNanos);
        }
        boolean canStart = nowNanos - state.nextFailoverNanos >= 0 && !state.failoverRunning;
        boolean holdsLease = state.lease.isHeld() && !needsNewToken(state);
        boolean isTurn = nowNanos - state.failoverDueSince.get() >= leaseAttemptDelay(group.name());
        if (canStart && (holdsLease || isTurn && !leases.contains(group.name()))) {
            boolean planned = suspected.isEmpty() && !unfinished;
            start(group, state, primary.get(), planned, members);
        }
    }

    /**
     * Returns whether a request with the token of the lease may still be executed. The platform
     * accepts that token again, also for another instance, so the lease has to expire first.
     */
    private boolean needsNewToken(State state) {
        return context.fencingEnforced()
                && state.promotion
                        .pending()
                        .filter(p -> p.fencingToken() == state.lease.fencingToken())
                        .filter(p -> state.lastPrimary.equals(Optional.of(p.target())))
                        .isPresent();
    }

    /** Returns the last known primary if its entry has expired before it was replaced. */
    private static Optional<InstanceId> expiredPrimary(ServiceGroup group, State state) {
        return state.lastPrimary.filter(id -> findInstance(group, id).isEmpty());
    }

    /**
     * Returns whether the platform may still execute a promotion that had no response or whose
     * holder has lost the lease. The next holder finishes that failover, also if the old primary
     * responds again.
     */
    private static boolean isUnfinished(
            State state, Optional<InstanceId> primary, boolean leaseObserved) {
        return primary.isPresent()
                && state.promotion
                        .pending()
                        .filter(p -> !leaseObserved || p.unanswered())
                        .filter(p -> !p.target().equals(primary.get()))
                        .isPresent();
    }

    /**
     * Returns whether at least half of the processes voted. Exactly half suffices only with two
     * votes or more, since a single voter may itself be isolated.
     */
    private boolean hasEnoughVotes(ServiceGroup group, InstanceId primary, Set<VmId> members) {
        long count = votes.count(group.name(), primary, members);
        return count * 2 > members.size() || count * 2 == members.size() && count >= MIN_TIE_VOTES;
    }

    private void start(
            ServiceGroup group,
            State state,
            InstanceId oldPrimary,
            boolean planned,
            Set<VmId> members) {
        state.failoverRunning = true;
        state.lease.acquire(
                () ->
                        new Failover(
                                        context,
                                        group,
                                        oldPrimary,
                                        planned,
                                        state.lease,
                                        state.promotion,
                                        new Evidence(group, state, oldPrimary, members),
                                        outcome -> onFailoverEnded(state, outcome))
                                .start(),
                () -> onFailoverEnded(state, Failover.Outcome.NOT_REQUESTED));
    }

    private void onFailoverEnded(State state, Failover.Outcome outcome) {
        state.failoverRunning = false;
        state.lease.release(outcome != Failover.Outcome.NOT_REQUESTED);
        Duration delay =
                outcome == Failover.Outcome.TURNED_AWAY ? TURNED_AWAY_COOLDOWN : FAILOVER_COOLDOWN;
        state.postponeFailover(context.clock().nanoTime() + delay.toNanos());
    }

    /** Returns the known leader or, if there is none, the instance that registered as primary. */
    private static Optional<InstanceId> findPrimary(ServiceGroup group) {
        return group.leadership()
                .leader()
                .or(
                        () ->
                                group.instances().stream()
                                        .filter(InstanceEntry::primary)
                                        .map(InstanceEntry::id)
                                        .findFirst());
    }

    private static Optional<InstanceEntry> findInstance(ServiceGroup group, InstanceId id) {
        return group.instances().stream().filter(e -> e.id().equals(id)).findFirst();
    }

    private void recordObserved(ServiceName service, StoreEntry entry) {
        context.record(
                EventCode.FAILOVER_KEY_OBSERVED,
                service,
                "key="
                        + entry.key()
                        + " value="
                        + entry.value().orElse("none")
                        + " at="
                        + entry.revision());
    }

    /** Schedules a status query, since the holder may have crashed and left replicas paused. */
    private void onLeaseEnded(ServiceName service) {
        leases.remove(service);
        servicesToQuery.add(service);
    }

    private void applyVote(StoreEntry entry) {
        String[] parts = entry.key().substring(FailoverKeys.VOTE_PREFIX.length()).split("/");
        if (parts.length != 2) {
            return;
        }
        ServiceName service = ServiceName.of(parts[0]);
        VmId vm = VmId.of(parts[1]);
        if (vm.equals(context.vm())) {
            state(service).vote.onStoreChange(entry);
        }
        context.record(
                EventCode.VOTE_OBSERVED,
                service,
                "vm=" + vm + " vote=" + entry.value().orElse("none") + " at=" + entry.revision());
        votes.record(service, vm, entry.value().flatMap(Vote::parse));
        indicateReplacement(state(service));
    }

    private void indicateReplacement(State state) {
        state.group.ifPresent(group -> replacement.indicate(group, state.promotion));
    }

    private long leaseAttemptDelay(ServiceName service) {
        return LEASE_ATTEMPT_SPACING.toNanos() * Math.max(0, ranks.rank(service));
    }

    /** The votes to replace a primary, as this process observes them. */
    private final class Evidence implements FailoverEvidence {
        private final ServiceGroup group;
        private final State state;
        private final InstanceId primary;
        private final Set<VmId> members;

        private Evidence(ServiceGroup group, State state, InstanceId primary, Set<VmId> members) {
            this.group = group;
            this.state = state;
            this.primary = primary;
            this.members = Set.copyOf(members);
        }

        @Override
        public boolean areAllWritersFenced() {
            return isLeaseObserved() && votes.haveAllEndedWrites(group.name(), primary, members);
        }

        @Override
        public Optional<LogPosition> acknowledgedPosition(boolean otherReplicasStopped) {
            boolean membersStable = membersStableFor().compareTo(DEPARTED_MEMBER_TIMEOUT) >= 0;
            return votes.acknowledgedPosition(group.name(), primary, members)
                    .filter(p -> isLeaseObserved() && (membersStable || otherReplicasStopped));
        }

        @Override
        public List<InstanceId> absentReplicas() {
            state.replicas.observe(group.instances(), storeReachable);
            return state.replicas.absent().stream().filter(id -> !id.equals(primary)).toList();
        }

        @Override
        public String describe() {
            return "votes="
                    + votes.describe(group.name())
                    + " members="
                    + members
                    + " members_stable_ms="
                    + membersStableFor().toMillis()
                    + " lease_observed="
                    + isLeaseObserved()
                    + " instances="
                    + group.instances().stream().map(InstanceEntry::id).toList()
                    + " absent="
                    + absentReplicas();
        }

        /**
         * Returns whether the watch has delivered the lease. The store accepts no withdrawal of a
         * vote while the lease is held, so that votes that were withdrawn before are then gone from
         * the local copy.
         */
        private boolean isLeaseObserved() {
            return state.lease.isHeldAs(leases.find(group.name()));
        }

        private Duration membersStableFor() {
            return Duration.ofNanos(context.clock().nanoTime() - membersStableSinceNanos);
        }
    }

    /** The state of one service. */
    private static final class State {
        private final FailoverLease lease;
        private final PausedReplicaMonitor pausedReplicas;
        private final ReplacementVote vote;
        private final ReplicaSet replicas;
        private final DrainedReplicaMonitor drainedReplicas;
        private final PromotionRecord promotion;
        private Optional<ServiceGroup> group = Optional.empty();

        private Optional<InstanceId> lastPrimary = Optional.empty();

        private Optional<Long> failoverDueSince = Optional.empty();
        private long nextFailoverNanos;
        private boolean failoverRunning;

        private State(FailoverContext context, ServiceName service) {
            this.lease = new FailoverLease(context, service);
            this.vote =
                    new ReplacementVote(
                            context, service, fenced -> group.ifPresent(g -> g.fence(fenced)));
            this.pausedReplicas = new PausedReplicaMonitor(context);
            this.replicas = new ReplicaSet(context, service);
            this.drainedReplicas = new DrainedReplicaMonitor(context, replicas);
            this.promotion = new PromotionRecord(context, service);
            this.nextFailoverNanos = context.clock().nanoTime();
        }

        private void postponeFailover(long untilNanos) {
            if (untilNanos - nextFailoverNanos > 0) {
                nextFailoverNanos = untilNanos;
            }
        }
    }
}
