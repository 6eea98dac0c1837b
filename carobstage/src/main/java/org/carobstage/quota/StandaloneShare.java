package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobstage.account.RateLimit;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.VmId;

/**
 * The equal share of a process, used while no owner responds: a bucket per account that is filled
 * with rate / members.
 *
 * <p>The capacities of the shares of all processes together are at most slack + excess x burst,
 * since the owner's bucket may be full at the same time. If that is less than one token each, the
 * first processes in the rendezvous hashing order of the account have one and the others none.
 */
final class StandaloneShare {
    /** Longer by 50 ms than the owner counts a process, as their clocks may run differently. */
    static final Duration EXCLUSION = CountedPeers.COUNTED_FOR.plusMillis(50);

    private final VmId self;
    private final QuotaPolicy policy;
    private final Membership membership;

    /** An owner may still count an earlier process on this VM. */
    private final long startedAtNanos;

    private final Map<AccountName, TokenBucket> buckets = new HashMap<>();
    private final Map<AccountName, Long> permittedAtNanos = new HashMap<>();
    private final Map<AccountName, Integer> ranks = new HashMap<>();
    private Set<VmId> rankedMembers = Set.of();
    private long usableAtNanos;

    private StandaloneShare(
            VmId self, QuotaPolicy policy, Membership membership, long startedAtNanos) {
        this.self = self;
        this.policy = policy;
        this.membership = membership;
        this.startedAtNanos = startedAtNanos;
        this.usableAtNanos = startedAtNanos + EXCLUSION.toNanos();
    }

    static StandaloneShare of(
            VmId self, QuotaPolicy policy, Membership membership, ClockReading startedAt) {
        return new StandaloneShare(
                requireNonNull(self, "self is null"),
                requireNonNull(policy, "policy is null"),
                requireNonNull(membership, "membership is null"),
                startedAt.monotonicNanos());
    }

    /** Excludes the use of the share, as when a message says that this process does not use it. */
    void exclude(ClockReading now) {
        buckets.clear();
        long until = now.monotonicNanos() + EXCLUSION.toNanos();
        usableAtNanos = usableAtNanos - until > 0 ? usableAtNanos : until;
    }

    /** Returns the time until the share may be used, if it may be used in the known future. */
    Optional<Duration> untilUsable(ClockReading now) {
        boolean member = membership.isConfirmed(now) && membership.members(now).contains(self);
        if (!member) {
            buckets.clear();
            usableAtNanos = Math.max(usableAtNanos, now.monotonicNanos());
            return Optional.empty();
        }
        long wait = usableAtNanos - now.monotonicNanos();
        return Optional.of(Duration.ofNanos(Math.max(0, wait)));
    }

    /** Permits an operation if the share may be used and has a token. */
    boolean tryPermit(AccountName account, RateLimit limit, ClockReading now) {
        boolean permitted =
                untilUsable(now).filter(Duration::isZero).isPresent()
                        && bucket(account, limit, now).take(1, now.monotonicNanos()) > 0;
        if (permitted) {
            permittedAtNanos.put(account, now.monotonicNanos());
        }
        return permitted;
    }

    /** Returns the time until the share has a token. */
    Duration untilNext(AccountName account, RateLimit limit, ClockReading now) {
        return bucket(account, limit, now).untilNext(now.monotonicNanos());
    }

    double level(AccountName account) {
        return Optional.ofNullable(buckets.get(account)).map(TokenBucket::level).orElse(0.0);
    }

    /** Forgets operations that no window contains any more. */
    void sweep(ClockReading now) {
        permittedAtNanos.values().removeIf(at -> isPast(at, now));
    }

    private TokenBucket bucket(AccountName account, RateLimit limit, ClockReading now) {
        Set<VmId> members = membership.members(now);
        double rate = limit.operationsPerSecond() / Math.max(1, members.size());
        double budget = budget(limit);
        int rank = rank(account, members);
        double capacity = capacity(budget, rank, members.size());
        TokenBucket bucket =
                buckets.computeIfAbsent(
                        account,
                        name -> {
                            boolean initial =
                                    rate > 0
                                            && rank < Math.min(policy.slack(), Math.floor(budget))
                                            && hasNoneInWindow(name, now);
                            return TokenBucket.of(rate, capacity, initial ? 1 : 0, usableAtNanos);
                        });
        bucket.change(rate, capacity, now.monotonicNanos());
        return bucket;
    }

    /** The owner's bucket has at least one token, which a burst below one does not cover. */
    private double budget(RateLimit limit) {
        double uncovered = Math.max(0, TokenBucket.capacityOf(limit) - limit.burst());
        return Math.max(0, policy.slack() - uncovered) + policy.excess() * limit.burst();
    }

    private static double capacity(double budget, int rank, int members) {
        if (budget >= members) {
            return budget / members;
        }
        return rank < Math.floor(budget) ? 1 : 0;
    }

    /** A second initial token in the same window would exceed the slack. */
    private boolean hasNoneInWindow(AccountName account, ClockReading now) {
        return isPast(permittedAtNanos.getOrDefault(account, startedAtNanos), now);
    }

    private boolean isPast(long atNanos, ClockReading now) {
        return now.monotonicNanos() - atNanos > policy.window().toNanos();
    }

    private int rank(AccountName account, Set<VmId> members) {
        if (!rankedMembers.equals(members)) {
            ranks.clear();
            rankedMembers = members;
        }
        return ranks.computeIfAbsent(
                account, name -> RendezvousOrder.rank(name.value(), self, members));
    }
}
