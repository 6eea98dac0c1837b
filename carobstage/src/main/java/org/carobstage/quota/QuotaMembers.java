package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.VmId;
import org.carobstage.quota.QuotaMember.Stage;
import org.carobstage.runtime.Clock;
import org.carobstage.store.LeaseId;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.carobstage.store.StoreWrite;

/**
 * Registers this process for an equal share and knows the processes that have one. The keys last
 * longer than a process uses its share without the store, so that a new owner finds every process
 * that may do so.
 */
final class QuotaMembers {
    /** Longer by 3 s than the share is used, which covers a call that the store executes late. */
    private static final OwnershipLease.Timing LEASE =
            new OwnershipLease.Timing(
                    Membership.SHARE_AFTER_REGISTRATION.plusSeconds(3),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(3));

    /** Processes that lost the store before this one registered use no share any more by then. */
    private static final Duration ESTABLISHED_AFTER = Membership.RETENTION;

    /** An owner that has not learned of a change of a key within 3 s is no owner any more. */
    private static final Duration SHARING_AFTER = Duration.ofSeconds(5);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final String KEY_PREFIX = "carobstage/quota-members/";

    private final VmId vm;
    private final String run;
    private final MetadataStore store;
    private final Clock clock;
    private final OwnershipLease lease;
    private final Map<VmId, Stage> members = new HashMap<>();
    private Stage stage = Stage.NEW;
    private Optional<Written> written = Optional.empty();
    private long stageSinceNanos;
    private long nextWriteNanos;
    private boolean registered;
    private boolean listed;
    private boolean calling;
    private boolean replaced;

    private QuotaMembers(VmId vm, String run, MetadataStore store, Clock clock) {
        this.vm = requireNonNull(vm, "vm is null");
        this.run = requireNonNull(run, "run is null");
        this.store = requireNonNull(store, "store is null");
        this.clock = requireNonNull(clock, "clock is null");
        this.lease = new OwnershipLease(store, clock, LEASE, () -> {});
        this.nextWriteNanos = clock.nanoTime();
        store.era().addListener(era -> lease.forget());
    }

    static QuotaMembers of(VmId vm, String run, MetadataStore store, Clock clock) {
        return new QuotaMembers(vm, run, store, clock);
    }

    /** Returns all registered processes. */
    Set<VmId> all() {
        return Set.copyOf(members.keySet());
    }

    /** Returns the processes that every other one has known for as long as it may use its share. */
    Set<VmId> established() {
        return members.entrySet().stream()
                .filter(entry -> entry.getValue() != Stage.NEW)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns when the call was sent that confirmed the right of this process to a share last. */
    Optional<ClockReading> registeredAt() {
        return written.filter(w -> w.stage == Stage.SHARING && !replaced)
                .filter(w -> lease.id().equals(Optional.of(w.lease)))
                .flatMap(w -> lease.renewedAt());
    }

    /** Returns whether a later process on the same VM has registered. */
    boolean isReplaced() {
        return replaced;
    }

    void onListed() {
        listed = true;
    }

    /**
     * Applies a change of the store; keys of others are ignored.
     *
     * @return whether the members have changed
     * @throws IllegalArgumentException if the entry can't be parsed; it counts as established
     */
    boolean onStoreChange(StoreEntry entry) {
        if (!entry.key().startsWith(KEY_PREFIX)) {
            return false;
        }
        VmId member = VmId.of(entry.key().substring(KEY_PREFIX.length()));
        if (entry.value().isEmpty()) {
            members.remove(member);
        } else {
            members.put(member, Stage.ESTABLISHED);
        }
        Optional<QuotaMember> value = entry.value().map(QuotaMember::parse);
        value.ifPresent(m -> members.put(member, m.stage()));
        if (member.equals(vm)) {
            onOwnEntry(value, entry.revision());
        }
        return true;
    }

    /** Registers this process and keeps its registration while it is needed. */
    void tick(boolean needed) {
        boolean lapsed =
                lease.renewedAt()
                        .map(at -> at.age(ClockReading.now(clock)))
                        .filter(age -> age.compareTo(Membership.SHARE_AFTER_REGISTRATION) >= 0)
                        .isPresent();
        if (lapsed) {
            stage = Stage.NEW;
            written = Optional.empty();
        }
        if (needed && listed && !replaced) {
            lease.keep();
            advanceStage();
            lease.id().filter(id -> isWriteDue(id)).ifPresent(this::write);
        }
    }

    /** Deletes the key; the share must not be used any more. */
    void end() {
        written = Optional.empty();
        listed = false;
        lease.end();
    }

    private void onOwnEntry(Optional<QuotaMember> value, StoreRevision revision) {
        boolean other = value.filter(m -> !m.run().equals(run)).isPresent();
        if (!registered) {
            // This process has the right of its predecessor, which the others know already.
            value.filter(m -> other).ifPresent(m -> stage = m.stage());
            return;
        }
        if (written.filter(w -> revision.compareTo(w.revision) > 0).isPresent()) {
            replaced |= other;
            written = value.isEmpty() ? Optional.empty() : written;
        }
    }

    private void advanceStage() {
        Duration age = Duration.ofNanos(clock.nanoTime() - stageSinceNanos);
        if (written.filter(w -> w.stage == stage).isEmpty()) {
            return;
        }
        if (stage == Stage.NEW && age.compareTo(ESTABLISHED_AFTER) >= 0) {
            stage = Stage.ESTABLISHED;
        } else if (stage == Stage.ESTABLISHED && age.compareTo(SHARING_AFTER) >= 0) {
            stage = Stage.SHARING;
        }
    }

    private boolean isWriteDue(LeaseId id) {
        return !calling
                && clock.nanoTime() - nextWriteNanos >= 0
                && written.filter(w -> w.lease.equals(id) && w.stage == stage).isEmpty();
    }

    private void write(LeaseId id) {
        Stage current = stage;
        calling = true;
        store.write(
                StoreWrite.put(KEY_PREFIX + vm, new QuotaMember(run, current).format(), id),
                response -> {
                    calling = false;
                    if (response instanceof StoreResponse.Success<StoreRevision> success) {
                        onWritten(new Written(id, current, success.value()));
                    } else {
                        nextWriteNanos = clock.nanoTime() + RETRY_DELAY.toNanos();
                    }
                });
    }

    private void onWritten(Written now) {
        registered = true;
        if (written.filter(w -> w.stage == now.stage).isEmpty()) {
            stageSinceNanos = clock.nanoTime();
        }
        written = Optional.of(now);
    }

    private record Written(LeaseId lease, Stage stage, StoreRevision revision) {}
}
