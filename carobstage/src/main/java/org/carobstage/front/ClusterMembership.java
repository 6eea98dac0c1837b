package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;
import org.carobstage.store.LeaseId;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreWrite;

/**
 * The processes that share the connections to instances, each an entry of the store under a lease.
 * A share shrinks at once when a process joins and grows only after the leaver's connections have
 * surely ended.
 */
final class ClusterMembership {
    private static final String PREFIX = "carobstage/members/";

    /** A VM that is lost or cut off from the store has no vote after this time. */
    private static final Duration TTL = Duration.ofSeconds(3);

    private static final Duration RENEWAL = Duration.ofSeconds(1);
    private static final Duration AGAIN = Duration.ofMillis(500);

    /** Instances drop the connections of a lost VM after 3 s. */
    private static final Duration LEAVE_GRACE = Duration.ofMillis(3_500);

    /** The part of its share that a process uses while connections of an earlier life may stand. */
    private static final int YOUNG_DIVISOR = 2;

    /** Connections of an instance left free for probes and for processes that are joining. */
    private static final int RESERVE = 2;

    private final VmId vm;
    private final MetadataStore store;
    private final Clock clock;
    private final EventLog events;
    private final Set<VmId> members = new TreeSet<>();
    private Optional<LeaseId> lease = Optional.empty();
    private int counted = 1;
    private final long startNanos;
    private long shrunkSince;
    private boolean leaving;

    ClusterMembership(VmId vm, MetadataStore store, Clock clock, EventLog events) {
        this.vm = requireNonNull(vm, "vm is null");
        this.store = requireNonNull(store, "store is null");
        this.clock = requireNonNull(clock, "clock is null");
        this.events = requireNonNull(events, "events is null");
        this.startNanos = clock.nanoTime();
        this.members.add(vm);
    }

    void join() {
        if (leaving) {
            return;
        }
        store.grantLease(
                TTL,
                reply -> {
                    if (reply instanceof StoreResponse.Success<LeaseId> done) {
                        register(done.value());
                    } else {
                        clock.schedule(this::join, AGAIN);
                    }
                });
    }

    /** Ends the membership, so that the others take over the connections. */
    void leave() {
        leaving = true;
        lease.ifPresent(id -> store.revokeLease(id, reply -> {}));
        lease = Optional.empty();
    }

    Optional<LeaseId> lease() {
        return lease;
    }

    Set<VmId> members() {
        return members;
    }

    void onStoreChange(StoreEntry item) {
        if (!item.key().startsWith(PREFIX)) {
            return;
        }
        Set<VmId> before = Set.copyOf(members);
        VmId member = VmId.of(item.key().substring(PREFIX.length()));
        if (item.value().isPresent()) {
            members.add(member);
        } else if (!member.equals(vm)) {
            members.remove(member);
        } else if (!leaving && lease.isPresent()) {
            lease = Optional.empty();
            join();
        }
        if (!before.equals(members)) {
            events.record(EventCode.MEMBERS_CHANGED, EventScope.empty(), "members=" + members);
        }
    }

    /** Returns how many connections to an instance are this process's share. */
    int connectionQuota(int connectionLimit) {
        long now = clock.nanoTime();
        if (members.size() >= counted) {
            counted = members.size();
            shrunkSince = now;
        } else if (now - shrunkSince >= LEAVE_GRACE.toNanos()) {
            counted = members.size();
        }
        int share = Math.max(1, (connectionLimit - RESERVE) / counted);
        boolean young = now - startNanos < LEAVE_GRACE.toNanos();
        return young ? Math.max(1, share / YOUNG_DIVISOR) : share;
    }

    private void register(LeaseId granted) {
        store.write(
                StoreWrite.put(PREFIX + vm, vm.value(), granted),
                reply -> {
                    if (reply instanceof StoreResponse.Success<Long>) {
                        lease = Optional.of(granted);
                        clock.schedule(() -> renew(granted), RENEWAL);
                    } else {
                        clock.schedule(this::join, AGAIN);
                    }
                });
    }

    private void renew(LeaseId held) {
        if (leaving || !lease.equals(Optional.of(held))) {
            return;
        }
        store.renewLease(
                held,
                reply -> {
                    if (reply instanceof StoreResponse.Mismatch<LeaseId>) {
                        if (lease.equals(Optional.of(held))) {
                            lease = Optional.empty();
                            join();
                        }
                        return;
                    }
                    boolean done = reply instanceof StoreResponse.Success<LeaseId>;
                    clock.schedule(() -> renew(held), done ? RENEWAL : AGAIN);
                });
    }
}
