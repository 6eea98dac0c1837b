package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.quota.ShardClaim.Action;
import org.carobstage.quota.ShardClaim.Situation;
import org.carobstage.runtime.Clock;
import org.carobstage.store.KeyReader;
import org.carobstage.store.LeaseId;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.carobstage.store.StoreWrite;

/**
 * Decides which shards this process owns. A shard is owned by the process whose entry the store has
 * under the key of the shard; the entries of a process are bound to one lease. An owner stops
 * before its lease ends and at once when the store is restored from a copy. After a restore, and
 * after its start, a process owns nothing for the lifetime of a lease, since an owner that has not
 * learned of the restore may act for that long. Only the shards that an earlier run of the process
 * has acquired in the same era are taken over at once.
 */
final class ShardOwnership {
    private static final String KEY_PREFIX = "carobstage/quota/";
    private static final Duration ERA_DELAY = OwnershipLease.TTL;

    private final VmId vm;
    private final String run;
    private final MetadataStore store;
    private final Clock clock;
    private final EventLog events;
    private final Listener listener;
    private final OwnershipLease lease;
    private final Map<QuotaShard, ShardClaim> claims = new LinkedHashMap<>();
    private final Set<QuotaShard> owned = new HashSet<>();
    private final Map<QuotaShard, Integer> ranks = new HashMap<>();
    private Set<VmId> members = Set.of();
    private Optional<Address> address = Optional.empty();
    private Optional<Long> eraSinceNanos = Optional.empty();
    private boolean needed;
    private boolean stopping;

    private ShardOwnership(
            VmId vm,
            String run,
            MetadataStore store,
            Clock clock,
            EventLog events,
            Listener listener) {
        this.vm = requireNonNull(vm, "vm is null");
        this.run = requireNonNull(run, "run is null");
        this.store = requireNonNull(store, "store is null");
        this.clock = requireNonNull(clock, "clock is null");
        this.events = requireNonNull(events, "events is null");
        this.listener = requireNonNull(listener, "listener is null");
        this.lease =
                new OwnershipLease(store, clock, OwnershipLease.SHARDS, () -> update("lease lost"));
        QuotaShard.all().forEach(shard -> claims.put(shard, new ShardClaim(vm, run)));
        store.era().addListener(era -> onRestored());
    }

    static ShardOwnership of(
            VmId vm,
            String run,
            MetadataStore store,
            Clock clock,
            EventLog events,
            Listener listener) {
        return new ShardOwnership(vm, run, store, clock, events, listener);
    }

    /** Sets the address under which other processes reach this one; without it, it owns nothing. */
    void setAddress(Address reachable) {
        address = Optional.of(reachable);
    }

    /** Sets whether any account is limited; otherwise no shard needs an owner. */
    void setNeeded(boolean anyLimit) {
        boolean released = needed && !anyLimit;
        needed = anyLimit;
        if (released) {
            update("no account has a limit");
            lease.release();
            update("");
        }
    }

    void setMembers(Set<VmId> registered) {
        if (!registered.equals(members)) {
            members = Set.copyOf(registered);
            ranks.clear();
        }
    }

    boolean owns(QuotaShard shard) {
        return owned.contains(shard) && lease.id().isPresent();
    }

    /** Returns the owner of a shard according to the store. */
    Optional<ShardOwner> owner(QuotaShard shard) {
        return claims.get(shard).owner(store.era().current());
    }

    /** Records that the keys of the store were listed. */
    void onListed() {
        if (eraSinceNanos.isEmpty()) {
            eraSinceNanos = Optional.of(clock.nanoTime());
        }
        claims.values().forEach(claim -> claim.onListed(clock.nanoTime()));
    }

    /**
     * Applies a change of the store; keys of others are ignored.
     *
     * @throws IllegalArgumentException if the key names no shard
     */
    void onStoreChange(StoreEntry entry) {
        if (!entry.key().startsWith(KEY_PREFIX)) {
            return;
        }
        QuotaShard shard = shardOf(entry.key());
        try {
            claims.get(shard).onEntry(entry, situation(shard));
        } catch (IllegalArgumentException e) {
            events.record(
                    EventCode.QUOTA_SHARD_REFUSED,
                    EventScope.empty(),
                    "shard=" + shard.index() + " at=" + entry.revision() + " " + e.getMessage());
        }
        update("entry changed");
        act();
    }

    /** Keeps the lease and tries to own the shards that have no owner. */
    void tick() {
        update("lease ended");
        act();
    }

    /** Stops granting at once and then gives the shards to other processes. */
    void stop() {
        stopping = true;
        update("stopping");
        lease.end();
    }

    private void onRestored() {
        eraSinceNanos = Optional.of(clock.nanoTime());
        lease.forget();
        update("store restored");
    }

    private void update(String reason) {
        Optional<LeaseId> current = lease.id();
        claims.forEach(
                (shard, claim) -> {
                    claim.onLease(current);
                    boolean owns = claim.isHeld() && needed && !stopping;
                    if (!owns && owned.remove(shard)) {
                        listener.onLost(shard);
                        record(EventCode.QUOTA_SHARD_LOST, shard, "reason=" + reason);
                    } else if (owns && owned.add(shard)) {
                        listener.onGained(shard);
                        record(EventCode.QUOTA_SHARD_GAINED, shard, "lease=" + current.get());
                    }
                    if (owns) {
                        listener.onExtended(shard, lease.until());
                    }
                });
    }

    private void act() {
        boolean leaseNeeded = !owned.isEmpty();
        for (Map.Entry<QuotaShard, ShardClaim> each : claims.entrySet()) {
            ShardClaim claim = each.getValue();
            Action action = claim.decide(situation(each.getKey()));
            if (action instanceof Action.Acquire) {
                leaseNeeded = true;
                lease.id().ifPresent(id -> acquire(each.getKey(), claim, id, Optional.empty()));
            } else if (action instanceof Action.Replace replace) {
                leaseNeeded = true;
                lease.id()
                        .ifPresent(
                                id ->
                                        acquire(
                                                each.getKey(),
                                                claim,
                                                id,
                                                Optional.of(replace.revision())));
            } else if (action instanceof Action.Delete delete) {
                delete(each.getKey(), claim, delete.revision());
            }
        }
        if (leaseNeeded) {
            lease.keep();
        }
    }

    /** Writes the key if it does not exist, or if its entry has the given revision. */
    private void acquire(
            QuotaShard shard, ShardClaim claim, LeaseId id, Optional<StoreRevision> replaced) {
        long era = store.era().current();
        ShardOwner self = new ShardOwner(vm, run, era, id, address.orElseThrow());
        claim.onCalling();
        String key = key(shard);
        store.write(
                replaced.map(r -> StoreWrite.put(key, self.format(), id).onlyIf(key, r))
                        .orElseGet(() -> StoreWrite.putIfAbsent(key, self.format(), id)),
                response -> {
                    boolean valid =
                            lease.id().equals(Optional.of(id))
                                    && era == store.era().current()
                                    && needed
                                    && !stopping;
                    if (valid && response instanceof StoreResponse.Success<StoreRevision> s) {
                        claim.onAcquired(s.value(), self);
                        update("");
                    } else {
                        onFailed(shard, claim, response);
                    }
                });
    }

    private void delete(QuotaShard shard, ShardClaim claim, StoreRevision revision) {
        claim.onCalling();
        store.write(
                StoreWrite.delete(key(shard)).onlyIf(key(shard), revision),
                response -> {
                    if (response instanceof StoreResponse.Success<StoreRevision>) {
                        claim.onDeleted();
                    } else {
                        onFailed(shard, claim, response);
                    }
                });
    }

    /** Reads a key that is not as its entry says; the watch may never tell that it is gone. */
    private void onFailed(
            QuotaShard shard, ShardClaim claim, StoreResponse<StoreRevision> response) {
        claim.onFailed(clock.nanoTime());
        if (response instanceof StoreResponse.Mismatch<StoreRevision> && claim.hasEntry()) {
            claim.onCalling();
            KeyReader.read(
                    store,
                    key(shard),
                    entry -> {
                        claim.onFailed(clock.nanoTime());
                        entry.filter(e -> !claim.isKnown(e)).ifPresent(this::onStoreChange);
                    });
        }
    }

    private Situation situation(QuotaShard shard) {
        long nowNanos = clock.nanoTime();
        Optional<Long> formerOwnersStop = eraSinceNanos.map(since -> since + ERA_DELAY.toNanos());
        return new Situation(
                nowNanos,
                store.era().current(),
                lease.id(),
                address,
                formerOwnersStop.filter(stop -> needed && address.isPresent()),
                stopping,
                ranks.computeIfAbsent(shard, s -> RendezvousOrder.rank(key(s), vm, members)),
                (int) claims.values().stream().filter(ShardClaim::isHeldOrCalling).count());
    }

    private void record(EventCode code, QuotaShard shard, String detail) {
        events.record(
                code,
                EventScope.empty(),
                "shard=" + shard.index() + " era=" + store.era().current() + " " + detail);
    }

    private static String key(QuotaShard shard) {
        return KEY_PREFIX + shard.index();
    }

    private static QuotaShard shardOf(String key) {
        try {
            return new QuotaShard(Integer.parseInt(key.substring(KEY_PREFIX.length())));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("no shard: " + key, e);
        }
    }

    /** Learns which shards this process owns. */
    interface Listener {
        /** This process owns the shard. */
        void onGained(QuotaShard shard);

        /** This process owns the shard until the given reading, by whichever clock is first. */
        void onExtended(QuotaShard shard, ClockReading until);

        /** This process no longer owns the shard. */
        void onLost(QuotaShard shard);
    }
}
