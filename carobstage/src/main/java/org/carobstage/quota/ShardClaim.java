package org.carobstage.quota;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreRevision;

/**
 * What this process knows of the store key of one shard, and what it does about it: takes the key
 * when it is free or an earlier run of this process had it, and deletes an entry that no process
 * holds. Contains no I/O.
 */
final class ShardClaim {
    /** A member with a lower rank has written the key, and the watch has shown it, by then. */
    private static final Duration RANK_DELAY = Duration.ofMillis(150);

    /** Lets the members that own no shard try first. */
    private static final Duration DELAY_PER_OWNED_SHARD = Duration.ofMillis(500);

    /** The time after which a call to the store that failed is repeated. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final VmId vm;
    private final String run;
    private Optional<StoreEntry> entry = Optional.empty();
    private Optional<ShardOwner> owner = Optional.empty();
    private Optional<StoreRevision> heldAt = Optional.empty();
    private StoreRevision lastChange = StoreRevision.NONE;
    private boolean observed;
    private boolean calling;
    private long freeSinceNanos;
    private long retryNanos;

    ShardClaim(VmId vm, String run) {
        this.vm = vm;
        this.run = run;
    }

    /** Returns whether the key is held under the current lease. */
    boolean isHeld() {
        return heldAt.isPresent();
    }

    /** Returns whether the key exists as far as is known. */
    boolean hasEntry() {
        return entry.isPresent();
    }

    /** Returns whether an entry is the one that was observed last. */
    boolean isKnown(StoreEntry other) {
        return entry.map(StoreEntry::revision).equals(Optional.of(other.revision()));
    }

    /** Returns the owner that the entry names, unless no process holds the entry. */
    Optional<ShardOwner> owner(long era) {
        return owner.filter(o -> !isUnused(o, era));
    }

    /** Records that all keys were listed, so that a key without an entry does not exist. */
    void onListed(long nowNanos) {
        if (!observed) {
            observed = true;
            freeSinceNanos = nowNanos;
            retryNanos = nowNanos;
        }
    }

    /**
     * Records a change of the key.
     *
     * @param changed the current entry
     * @param situation the situation of this process
     * @throws IllegalArgumentException if the value can't be parsed; the key then counts as taken
     */
    void onEntry(StoreEntry changed, Situation situation) {
        if (heldAt.filter(at -> changed.revision().compareTo(at) < 0).isPresent()) {
            return;
        }
        onListed(situation.nowNanos());
        lastChange = changed.revision();
        entry = Optional.of(changed).filter(e -> e.value().isPresent());
        owner = Optional.empty();
        heldAt = Optional.empty();
        freeSinceNanos = situation.nowNanos();
        retryNanos = situation.nowNanos();
        owner = entry.flatMap(StoreEntry::value).map(ShardOwner::parse);
        // Also recognizes a write that was executed although its answer was lost.
        heldAt =
                owner.filter(o -> o.era() == situation.era() && o.isProcess(vm, run))
                        .filter(o -> situation.lease().equals(Optional.of(o.lease())))
                        .map(o -> changed.revision());
    }

    /** Records that the key was written under the current lease. */
    void onAcquired(StoreRevision revision, ShardOwner self) {
        calling = false;
        if (lastChange.compareTo(revision) <= 0) {
            lastChange = revision;
            entry = Optional.of(new StoreEntry("", Optional.of(self.format()), revision));
            owner = Optional.of(self);
            heldAt = Optional.of(revision);
        }
    }

    /** Records that an entry was deleted; the watch shows it. */
    void onDeleted() {
        calling = false;
    }

    /** Records that a call did not succeed or that its result is not known. */
    void onFailed(long nowNanos) {
        calling = false;
        retryNanos = nowNanos + RETRY_DELAY.toNanos();
    }

    /** Gives the key up unless it is bound to the current lease. */
    void onLease(Optional<LeaseId> current) {
        if (!owner.map(ShardOwner::lease).equals(current)) {
            heldAt = Optional.empty();
        }
    }

    /** Decides what to do now; an action other than none has to be answered by a call above. */
    Action decide(Situation situation) {
        if (!observed || calling || heldAt.isPresent() || situation.stopping()) {
            return new Action.None();
        }
        if (situation.nowNanos() - retryNanos < 0) {
            return new Action.None();
        }
        if (entry.isEmpty()) {
            boolean isTurn =
                    situation
                            .mayAcquireSince()
                            .filter(since -> isTurn(Math.max(since, freeSinceNanos), situation))
                            .isPresent();
            return isTurn ? new Action.Acquire() : new Action.None();
        }
        if (situation.mayAcquireSince().isPresent()
                && owner.filter(o -> isPredecessor(o, situation)).isPresent()) {
            return new Action.Replace(entry.get().revision());
        }
        return isTurn(freeSinceNanos, situation)
                        && owner.filter(o -> isUnused(o, situation.era())).isPresent()
                ? new Action.Delete(entry.get().revision())
                : new Action.None();
    }

    /** Records that a call was sent. */
    void onCalling() {
        calling = true;
    }

    /** Returns whether the key is held, or may be once a call is answered. */
    boolean isHeldOrCalling() {
        return isHeld() || calling;
    }

    /**
     * Returns whether no process holds an entry: it was written in an earlier era, or by this
     * process under a lease that it has given up. Such an entry may be bound to a lease id that a
     * restored store has given to another process, and would then never expire.
     */
    private boolean isUnused(ShardOwner named, long era) {
        return named.era() < era || named.isProcess(vm, run) && heldAt.isEmpty();
    }

    /**
     * Returns whether an entry is that of an earlier run of this process. It was written in this
     * era, so that its writer has waited for the owners of earlier eras, and the writer has ended:
     * there is nobody to wait for.
     */
    private boolean isPredecessor(ShardOwner named, Situation situation) {
        return named.era() == situation.era()
                && situation
                        .address()
                        .filter(listening -> named.isEarlierRunOf(vm, run, listening))
                        .isPresent();
    }

    private static boolean isTurn(long sinceNanos, Situation situation) {
        Duration delay =
                RANK_DELAY
                        .multipliedBy(situation.rank())
                        .plus(DELAY_PER_OWNED_SHARD.multipliedBy(situation.ownedShards()));
        return situation.nowNanos() - sinceNanos >= delay.toNanos();
    }

    /**
     * The situation of this process.
     *
     * @param nowNanos the monotonic time
     * @param era the era of the store
     * @param lease the current lease
     * @param address the address at which the process listens for other processes
     * @param mayAcquireSince the monotonic time since which the process may own shards, as an owner
     *     of an earlier era has stopped; empty if it may not
     * @param stopping whether the process owns no shard any more
     * @param rank the number of members that try before this process
     * @param ownedShards the number of shards that it owns
     */
    record Situation(
            long nowNanos,
            long era,
            Optional<LeaseId> lease,
            Optional<Address> address,
            Optional<Long> mayAcquireSince,
            boolean stopping,
            int rank,
            int ownedShards) {}

    /** What to do about a key. */
    sealed interface Action {
        /** Nothing. */
        record None() implements Action {}

        /** Write the key if it does not exist. */
        record Acquire() implements Action {}

        /**
         * Write the key in place of the entry of an earlier run of this process.
         *
         * @param revision the revision that the key must have
         */
        record Replace(StoreRevision revision) implements Action {}

        /**
         * Delete the entry, which no process holds.
         *
         * @param revision the revision that the key must have
         */
        record Delete(StoreRevision revision) implements Action {}
    }
}
