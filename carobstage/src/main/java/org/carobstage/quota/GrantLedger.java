package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.carobstage.account.RateLimit;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.VmId;

/**
 * The owner's side of the distributed rate limit: the token buckets of the shards that this process
 * owns.
 */
public final class GrantLedger {
    private static final long SWEEP_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();

    private final Function<AccountName, Optional<RateLimit>> limits;
    private final Membership membership = Membership.empty();
    private final Map<QuotaShard, OwnedShard> shards = new HashMap<>();

    private GrantLedger(Function<AccountName, Optional<RateLimit>> limits) {
        this.limits = limits;
    }

    /**
     * Creates a ledger that owns no shard.
     *
     * @param limits returns the current limit of an account, or empty if it has none
     * @return the ledger
     */
    public static GrantLedger of(Function<AccountName, Optional<RateLimit>> limits) {
        return new GrantLedger(requireNonNull(limits, "limits is null"));
    }

    /**
     * Sets the processes that may use an equal share. One that has left is counted for a while
     * longer, because it may still be running.
     *
     * @param members the members; the whole rate is granted if there are none
     * @param now the current reading
     */
    public void onMembers(Set<VmId> members, ClockReading now) {
        shards.values().forEach(shard -> shard.peers.advance(now, membership.members(now)));
        membership.onMembers(members, now);
    }

    /**
     * Starts owning a shard with empty buckets. Nothing is granted until {@link #extendOwning} is
     * called.
     *
     * @param shard the shard
     * @param now the current reading
     * @param grantFrom the reading from which tokens may be granted; until then, requests are
     *     answered as by a process that is not the owner
     */
    public void startOwning(QuotaShard shard, ClockReading now, ClockReading grantFrom) {
        shards.put(shard, new OwnedShard(shard, grantFrom, now));
    }

    /**
     * Extends the validity of an ownership; has no effect on a shard that is not owned.
     *
     * @param shard the shard
     * @param until the reading at which the ownership ends, by whichever clock reaches it first
     */
    public void extendOwning(QuotaShard shard, ClockReading until) {
        Optional.ofNullable(shards.get(shard)).ifPresent(owned -> owned.until = Optional.of(until));
    }

    /**
     * Stops owning a shard at once.
     *
     * @param shard the shard
     */
    public void stopOwning(QuotaShard shard) {
        shards.remove(shard);
    }

    /**
     * Answers a request of a process, which may be this one.
     *
     * @param peer the VM that has sent the request
     * @param request the request
     * @param now the current reading
     * @return the response to send
     */
    public QuotaResponse onRequest(VmId peer, QuotaRequest request, ClockReading now) {
        requireNonNull(peer, "peer is null");
        return Optional.ofNullable(shards.get(request.shard()))
                .filter(owned -> owned.isValid(now))
                .map(owned -> owned.onRequest(peer, request, now))
                .orElseGet(
                        () ->
                                new QuotaResponse(
                                        request.shard(), request.sequence(), false, Map.of()));
    }

    /**
     * Returns the number of buckets in memory.
     *
     * @return the buckets of all shards that are not dropped
     */
    int bucketCount() {
        return shards.values().stream().mapToInt(shard -> shard.buckets.size()).sum();
    }

    private final class OwnedShard {
        private final Map<AccountName, TokenBucket> buckets = new HashMap<>();
        private final QuotaShard shard;
        private final CountedPeers peers;
        private final ClockReading grantFrom;
        private Optional<ClockReading> until = Optional.empty();
        private long sweptAtNanos;

        private OwnedShard(QuotaShard shard, ClockReading grantFrom, ClockReading now) {
            this.shard = shard;
            this.grantFrom = grantFrom;
            this.peers = CountedPeers.of(now);
            this.sweptAtNanos = now.monotonicNanos();
        }

        private boolean isValid(ClockReading now) {
            return now.isSince(grantFrom)
                    && until.filter(
                                    end ->
                                            now.monotonicNanos() - end.monotonicNanos() < 0
                                                    && now.epochNanos() < end.epochNanos())
                            .isPresent();
        }

        private QuotaResponse onRequest(VmId peer, QuotaRequest request, ClockReading now) {
            Set<VmId> members = membership.members(now);
            peers.advance(now, members);
            peers.onRequest(peer, request);
            peers.onResponse(peer, request.sequence());
            sweep(now);
            Map<AccountName, Grant> grants = new HashMap<>();
            request.counts()
                    .forEach(
                            (account, count) ->
                                    grant(account, count, members)
                                            .ifPresent(grant -> grants.put(account, grant)));
            return new QuotaResponse(request.shard(), request.sequence(), true, grants);
        }

        /** Grants nothing to an account that is unknown here or not of this shard: no bucket. */
        private Optional<Grant> grant(AccountName account, int count, Set<VmId> members) {
            return Optional.of(account)
                    .filter(name -> QuotaShard.of(name).equals(shard))
                    .flatMap(limits)
                    .map(
                            limit -> {
                                TokenBucket bucket =
                                        buckets.computeIfAbsent(
                                                account, name -> TokenBucket.empty(limit, 0));
                                long nanos = peers.fillNanos();
                                bucket.change(limit, nanos);
                                int tokens = bucket.take(count, nanos);
                                Duration untilNext = bucket.untilNext(nanos);
                                return new Grant(tokens, peers.toRealTime(untilNext, members));
                            });
        }

        /**
         * Drops buckets that are full and would be so again if they were created anew, as a new
         * bucket is filled since the start of the ownership.
         */
        private void sweep(ClockReading now) {
            if (now.monotonicNanos() - sweptAtNanos < SWEEP_INTERVAL_NANOS) {
                return;
            }
            sweptAtNanos = now.monotonicNanos();
            long nanos = peers.fillNanos();
            buckets.entrySet()
                    .removeIf(
                            entry ->
                                    entry.getValue().isFull(nanos)
                                            && limits.apply(entry.getKey())
                                                    .map(l -> TokenBucket.empty(l, 0).isFull(nanos))
                                                    .orElse(true));
        }
    }
}
