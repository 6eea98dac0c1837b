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
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.carobstage.store.StoreWrite;
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

    /** The delay before a failed write of a vote is retried. */
    private static final Duration VOTE_RETRY_DELAY = Duration.ofMillis(500);

    /** The minimum time between two failovers of a service. */
    private static final Duration FAILOVER_COOLDOWN = Duration.ofMillis(1_000);

    /**
     * A process that has disappeared from the store may have acknowledged commits that no vote
     * covers. They matter if a replica that is out of reach may still hold them.
     */
    private static final Duration DEPARTED_MEMBER_TIMEOUT = Duration.ofMillis(15_000);

    /** The time in which members and votes that a restored store has lost are written again. */
    private static final Duration RESTORE_GRACE_PERIOD = Duration.ofMillis(3_500);

    private final FailoverContext context;
    private final Map<ServiceName, State> states = new TreeMap<>();
    private final FailoverVotes votes = FailoverVotes.empty();
    private final Map<ServiceName, VmId> leaseHolders = new HashMap<>();
    private final Map<ServiceName, PendingPromotion> pendingPromotions = new HashMap<>();
    private final Set<ServiceName> servicesToQuery = new HashSet<>();
    private Set<VmId> lastMembers = Set.of();
    private ClockReading membersStableSince;

    private FailoverCoordinator(FailoverContext context) {
        this.context = context;
        this.membersStableSince = ClockReading.now(context.clock());
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
     * Applies a change of a vote or lease in the store.
     *
     * @param entry the changed entry; entries that are neither votes nor leases are ignored
     */
    public void onStoreChange(StoreEntry entry) {
        if (entry.key().startsWith(FailoverKeys.LEASE_PREFIX)) {
            ServiceName service =
                    ServiceName.of(entry.key().substring(FailoverKeys.LEASE_PREFIX.length()));
            entry.value()
                    .ifPresentOrElse(
                            vm -> leaseHolders.put(service, VmId.of(vm)),
                            () -> onLeaseEnded(service));
        } else if (entry.key().startsWith(FailoverKeys.PROMOTION_PREFIX)) {
            ServiceName service =
                    ServiceName.of(entry.key().substring(FailoverKeys.PROMOTION_PREFIX.length()));
            PendingPromotion.parse(entry, ClockReading.now(context.clock()))
                    .ifPresentOrElse(
                            p -> pendingPromotions.put(service, p),
                            () -> removePendingPromotion(service, entry.revision().era()));
        } else if (entry.key().startsWith(FailoverKeys.VOTE_PREFIX)) {
            applyVote(entry);
        }
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
        if (!members.containsAll(lastMembers)) {
            membersStableSince = ClockReading.now(context.clock());
        }
        lastMembers = Set.copyOf(members);
        groups.forEach(group -> tick(group, members, lease));
    }

    /**
     * Discards what rests on the lost history. Members and votes may be missing, and votes that
     * were withdrawn may be back, so no failover starts until the processes have written them
     * again.
     */
    private void onStoreRestored(long era) {
        ClockReading now = ClockReading.now(context.clock());
        membersStableSince = now;
        states.values()
                .forEach(
                        state -> {
                            state.lease.onStoreRestored();
                            state.storedVote = Optional.empty();
                            state.postponeFailover(
                                    now.monotonicNanos() + RESTORE_GRACE_PERIOD.toNanos());
                        });
    }

    private void tick(ServiceGroup group, Set<VmId> members, Optional<LeaseId> lease) {
        State state = states.computeIfAbsent(group.name(), n -> new State(context, n));
        Optional<InstanceId> primary = findPrimary(group);
        Optional<InstanceId> suspected = primary.filter(group::isSuspected);
        updateVote(group, state, suspected, lease);
        if (servicesToQuery.remove(group.name())) {
            group.requestAllStatuses();
        }
        boolean draining =
                primary.flatMap(id -> findInstance(group, id))
                        .map(InstanceEntry::draining)
                        .orElse(false);
        boolean replacementAgreed =
                suspected.isPresent()
                        && hasEnoughVotes(
                                votes.count(group.name(), suspected.get(), members),
                                members.size());
        long nowNanos = context.clock().nanoTime();
        if (!draining && !replacementAgreed) {
            state.failoverDueSince = Optional.empty();
            state.pausedReplicas.query(group, rank(group.name(), members) == 0);
            state.pausedReplicas.resume(
                    group, state.failoverRunning || leaseHolders.containsKey(group.name()));
            return;
        }
        state.pausedReplicas.reset();
        if (state.failoverDueSince.isEmpty()) {
            state.failoverDueSince = Optional.of(nowNanos);
        }
        boolean canStart = nowNanos - state.nextFailoverNanos >= 0 && !state.failoverRunning;
        boolean holdsLease = state.lease.isHeld();
        boolean isTurn =
                nowNanos - state.failoverDueSince.get() >= leaseAttemptDelay(group.name(), members);
        if (canStart && (holdsLease || isTurn && !leaseHolders.containsKey(group.name()))) {
            start(group, state, primary.get(), suspected.isEmpty(), members);
        }
    }

    /**
     * Returns whether at least half of the processes voted. Exactly half suffices only with two
     * votes or more, since a single voter may itself be isolated.
     */
    private static boolean hasEnoughVotes(long votes, int members) {
        return votes * 2 > members || votes * 2 == members && votes >= MIN_TIE_VOTES;
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
                                        pendingTarget(group.name()),
                                        stopped ->
                                                acknowledgedPosition(
                                                        group, oldPrimary, members, stopped),
                                        () -> describeEvidence(group, members),
                                        requested -> onFailoverEnded(state, requested))
                                .start(),
                () -> onFailoverEnded(state, false));
    }

    private Optional<InstanceId> pendingTarget(ServiceName service) {
        return Optional.ofNullable(pendingPromotions.get(service))
                .filter(p -> p.isPending(ClockReading.now(context.clock())))
                .map(PendingPromotion::target);
    }

    private void onFailoverEnded(State state, boolean promotionRequested) {
        state.failoverRunning = false;
        state.lease.release(promotionRequested);
        state.postponeFailover(context.clock().nanoTime() + FAILOVER_COOLDOWN.toNanos());
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

    /**
     * Votes to replace a primary that does not respond, and withdraws the vote when the primary
     * responds again. While the vote may be stored, no writes are sent to that primary, since a
     * failover relies on the acknowledged positions in the votes.
     */
    private void updateVote(
            ServiceGroup group,
            State state,
            Optional<InstanceId> suspected,
            Optional<LeaseId> lease) {
        if (state.voteWritePending || context.clock().nanoTime() - state.nextVoteNanos < 0) {
            return;
        }
        if (suspected.isEmpty()) {
            withdrawVote(group, state);
        } else if (lease.isPresent()) {
            Optional<LogPosition> acknowledgedPosition =
                    Optional.of(group.lastAcknowledgedPosition())
                            .filter(p -> !group.hasPendingCommits());
            LeasedVote leasedVote =
                    new LeasedVote(new Vote(suspected.get(), acknowledgedPosition), lease.get());
            if (!state.storedVote.equals(Optional.of(leasedVote))) {
                castVote(group, state, leasedVote);
            }
        }
    }

    private void castVote(ServiceGroup group, State state, LeasedVote leasedVote) {
        group.fence(Optional.of(leasedVote.vote().primary()));
        String text = leasedVote.vote().format();
        context.record(EventCode.REPLACEMENT_VOTE, group.name(), text);
        state.voteWritePending = true;
        context.store()
                .write(
                        StoreWrite.put(
                                FailoverKeys.vote(group.name(), context.vm()),
                                text,
                                leasedVote.lease()),
                        response -> {
                            state.voteWritePending = false;
                            state.voteMayBeStored |=
                                    !(response instanceof StoreResponse.Refused<StoreRevision>);
                            if (response instanceof StoreResponse.Success<StoreRevision>) {
                                state.storedVote = Optional.of(leasedVote);
                            } else {
                                scheduleVoteRetry(state);
                            }
                        });
    }

    /** The store rejects the withdrawal while a failover lease is held. */
    private void withdrawVote(ServiceGroup group, State state) {
        if (!state.voteMayBeStored) {
            group.fence(Optional.empty());
            return;
        }
        if (leaseHolders.containsKey(group.name())) {
            return;
        }
        context.record(EventCode.REPLACEMENT_VOTE, group.name(), "withdrawn");
        state.voteWritePending = true;
        context.store()
                .write(
                        StoreWrite.deleteUnlessExists(
                                FailoverKeys.vote(group.name(), context.vm()),
                                FailoverKeys.lease(group.name())),
                        response -> {
                            state.voteWritePending = false;
                            if (response instanceof StoreResponse.Success<StoreRevision>) {
                                state.voteMayBeStored = false;
                                state.storedVote = Optional.empty();
                                group.fence(Optional.empty());
                            } else {
                                scheduleVoteRetry(state);
                            }
                        });
    }

    private void scheduleVoteRetry(State state) {
        state.storedVote = Optional.empty();
        state.nextVoteNanos = context.clock().nanoTime() + VOTE_RETRY_DELAY.toNanos();
    }

    /** Schedules a status query, since the holder may have crashed and left replicas paused. */
    private void onLeaseEnded(ServiceName service) {
        leaseHolders.remove(service);
        servicesToQuery.add(service);
    }

    private void applyVote(StoreEntry entry) {
        String[] parts = entry.key().substring(FailoverKeys.VOTE_PREFIX.length()).split("/");
        if (parts.length != 2) {
            return;
        }
        VmId vm = VmId.of(parts[1]);
        if (vm.equals(context.vm())) {
            applyOwnVote(ServiceName.of(parts[0]), entry.value().isPresent());
        }
        ServiceName service = ServiceName.of(parts[0]);
        context.record(
                EventCode.VOTE_OBSERVED,
                service,
                "vm=" + vm + " vote=" + entry.value().orElse("none") + " at=" + entry.revision());
        votes.record(service, vm, entry.value().flatMap(Vote::parse));
    }

    /** A restored store may have lost a vote of this process, or hold one that was withdrawn. */
    private void applyOwnVote(ServiceName service, boolean stored) {
        State state = states.get(service);
        if (state == null || state.voteWritePending) {
            return;
        }
        if (!stored) {
            state.storedVote = Optional.empty();
        } else if (state.storedVote.isEmpty()) {
            state.voteMayBeStored = true;
        }
    }

    /** Keeps a request that a restored store has lost, since the platform may still execute it. */
    private void removePendingPromotion(ServiceName service, long era) {
        PendingPromotion pending = pendingPromotions.get(service);
        if (pending != null && pending.era() == era) {
            pendingPromotions.remove(service);
        }
    }

    /**
     * Returns the newest commit that any process may have acknowledged, or empty if a process has
     * not reported its position. Votes that were withdrawn before this process acquired the lease
     * are gone from the local copy once the watch has delivered the lease.
     */
    private Optional<LogPosition> acknowledgedPosition(
            ServiceGroup group,
            InstanceId primary,
            Set<VmId> members,
            boolean otherReplicasStopped) {
        boolean leaseObserved = context.vm().equals(leaseHolders.get(group.name()));
        boolean membersStable =
                membersStableSince
                                .age(ClockReading.now(context.clock()))
                                .compareTo(DEPARTED_MEMBER_TIMEOUT)
                        >= 0;
        return votes.acknowledgedPosition(group.name(), primary, members)
                .filter(p -> leaseObserved && (membersStable || otherReplicasStopped));
    }

    /** Describes what a choice relies on: members, their votes and the registered instances. */
    private String describeEvidence(ServiceGroup group, Set<VmId> members) {
        return "votes="
                + votes.describe(group.name())
                + " members="
                + members
                + " members_stable_ms="
                + membersStableSince.age(ClockReading.now(context.clock())).toMillis()
                + " instances="
                + group.instances().stream().map(InstanceEntry::id).toList();
    }

    private long leaseAttemptDelay(ServiceName service, Set<VmId> members) {
        return LEASE_ATTEMPT_SPACING.toNanos() * Math.max(0, rank(service, members));
    }

    /** Returns the rank of this process in an order common to all processes; -1 if not a member. */
    private int rank(ServiceName service, Set<VmId> members) {
        List<VmId> ranking = new ArrayList<>(members);
        ranking.sort(
                (a, b) ->
                        Integer.compare(
                                (service + "/" + a).hashCode(), (service + "/" + b).hashCode()));
        return ranking.indexOf(context.vm());
    }

    /** A vote, and the lease whose expiry deletes it from the store. */
    private record LeasedVote(Vote vote, LeaseId lease) {}

    /** The state of one service. */
    private static final class State {
        private final FailoverLease lease;
        private final PausedReplicaMonitor pausedReplicas;
        private Optional<LeasedVote> storedVote = Optional.empty();
        private Optional<Long> failoverDueSince = Optional.empty();
        private long nextFailoverNanos;
        private long nextVoteNanos;
        private boolean voteWritePending;
        private boolean voteMayBeStored;
        private boolean failoverRunning;

        private State(FailoverContext context, ServiceName service) {
            this.lease = new FailoverLease(context, service);
            this.pausedReplicas = new PausedReplicaMonitor(context);
            this.nextFailoverNanos = context.clock().nanoTime();
            this.nextVoteNanos = nextFailoverNanos;
        }

        private void postponeFailover(long untilNanos) {
            if (untilNanos - nextFailoverNanos > 0) {
                nextFailoverNanos = untilNanos;
            }
        }
    }
}
