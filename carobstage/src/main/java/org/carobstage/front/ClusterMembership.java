package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;
import org.carobstage.store.LeaseId;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.carobstage.store.StoreWrite;
import org.carobstage.upstream.ConnectionQuota;

/**
 * The proxy processes that share the connections to the instances. Each process registers a store
 * entry bound to a lease. The connection quota of a process shrinks as soon as another process
 * joins; after one has left, it grows only when the connections of that process have ended.
 */
final class ClusterMembership {
    private static final String MEMBER_KEY_PREFIX = "carobstage/members/";

    /** A VM that fails or loses its store connection has no vote once this time has passed. */
    private static final Duration LEASE_TTL = Duration.ofSeconds(3);

    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** Instances drop the connections of a lost VM after 3 s. */
    private static final Duration LEAVE_GRACE_PERIOD = Duration.ofMillis(3_500);

    /** Reduces the quota after a start, while connections of an earlier run may still be open. */
    private static final int STARTUP_QUOTA_DIVISOR = 2;

    /** Connections per instance that are reserved for probes and for joining processes. */
    private static final int RESERVED_CONNECTIONS = 2;

    /**
     * The fraction of an instance's connections that the processes of its failure domain may keep
     * open; the others are for processes without a local replica, transactions and writes.
     */
    private static final double STANDBY_FRACTION = 0.65;

    private final VmId vm;
    private final FailureDomain domain;
    private final MetadataStore store;
    private final Clock clock;
    private final EventLog events;
    private final Runnable onMemberRestarted;
    private final String run;
    private final Set<VmId> members = new TreeSet<>();
    private final Map<VmId, MemberEntry> entries = new HashMap<>();
    private Optional<LeaseId> lease = Optional.empty();
    private int rankInDomain;
    private int quotaMemberCount = 1;
    private final long startNanos;
    private long decreaseStartNanos;
    private boolean leaving;

    /**
     * Creates the membership, which {@link #join} registers.
     *
     * @param vm the VM of this process
     * @param domain the failure domain of the VM
     * @param store the store that holds the members
     * @param clock the runtime's clock
     * @param events the event log
     * @param onMemberRestarted called when another process has been replaced by a new one on the
     *     same VM, which has none of its knowledge
     */
    ClusterMembership(
            VmId vm,
            FailureDomain domain,
            MetadataStore store,
            Clock clock,
            EventLog events,
            Runnable onMemberRestarted) {
        this.vm = requireNonNull(vm, "vm is null");
        this.domain = requireNonNull(domain, "domain is null");
        this.store = requireNonNull(store, "store is null");
        this.clock = requireNonNull(clock, "clock is null");
        this.events = requireNonNull(events, "events is null");
        this.onMemberRestarted = requireNonNull(onMemberRestarted, "onMemberRestarted is null");
        this.run =
                new MemberEntry(vm + " " + clock.instant().toEpochMilli(), Optional.of(domain))
                        .format();
        this.startNanos = clock.nanoTime();
        this.members.add(vm);
        store.era().addListener(era -> rejoin());
    }

    void join() {
        if (leaving) {
            return;
        }
        store.grantLease(
                LEASE_TTL,
                response -> {
                    if (response instanceof StoreResponse.Success<LeaseId> success) {
                        register(success.value());
                    } else {
                        clock.schedule(this::join, RETRY_DELAY);
                    }
                });
    }

    /** Joins with a new lease, since a restored store may have lost the lease or its key. */
    private void rejoin() {
        if (!leaving && lease.isPresent()) {
            lease = Optional.empty();
            join();
        }
    }

    /** Revokes the lease, so that the other processes can use the connections of this one. */
    void leave() {
        leaving = true;
        lease.ifPresent(id -> store.revokeLease(id, response -> {}));
        lease = Optional.empty();
    }

    Optional<LeaseId> lease() {
        return lease;
    }

    Set<VmId> members() {
        return members;
    }

    void onStoreChange(StoreEntry entry) {
        if (!entry.key().startsWith(MEMBER_KEY_PREFIX)) {
            return;
        }
        Set<VmId> before = Set.copyOf(members);
        VmId member = VmId.of(entry.key().substring(MEMBER_KEY_PREFIX.length()));
        entry.value().ifPresent(value -> observeRun(member, value));
        if (entry.value().isPresent()) {
            members.add(member);
        } else if (!member.equals(vm)) {
            members.remove(member);
        } else if (!leaving && lease.isPresent()) {
            lease = Optional.empty();
            join();
        }
        rankInDomain = countPrecedingInDomain();
        if (!before.equals(members)) {
            events.record(
                    EventCode.MEMBERS_CHANGED,
                    EventScope.empty(),
                    (members.contains(member) ? "joined=" : "left=")
                            + member
                            + " count="
                            + members.size());
        }
    }

    /** Returns how many connections this process may open to an instance. */
    int connectionQuota(int connectionLimit) {
        long nowNanos = clock.nanoTime();
        if (members.size() >= quotaMemberCount) {
            quotaMemberCount = members.size();
            decreaseStartNanos = nowNanos;
        } else if (nowNanos - decreaseStartNanos >= LEAVE_GRACE_PERIOD.toNanos()) {
            quotaMemberCount = members.size();
        }
        int quota = Math.max(1, (connectionLimit - RESERVED_CONNECTIONS) / quotaMemberCount);
        boolean starting = nowNanos - startNanos < LEAVE_GRACE_PERIOD.toNanos();
        return starting ? Math.max(1, quota / STARTUP_QUOTA_DIVISOR) : quota;
    }

    /**
     * Returns the quota of this process for the connections to an instance.
     *
     * @param connectionLimit how many connections the instance allows
     * @param accountsInUse whether connections belong to client accounts
     */
    ConnectionQuota connectionQuota(int connectionLimit, boolean accountsInUse) {
        int connections = connectionQuota(connectionLimit);
        int available = connectionLimit - RESERVED_CONNECTIONS;
        ConnectionQuota quota =
                new ConnectionQuota(
                        connections,
                        members.size(),
                        available,
                        available < quotaMemberCount,
                        accountsInUse);
        boolean keepsConnections = rankInDomain < (int) (available * STANDBY_FRACTION);
        return keepsConnections ? quota.withStandbyRank(rankInDomain) : quota;
    }

    /** Returns how many processes of the same failure domain precede this one. */
    private int countPrecedingInDomain() {
        return (int)
                members.stream().filter(m -> m.compareTo(vm) < 0).filter(this::mayBeLocal).count();
    }

    /** A process of an earlier version does not say in which failure domain it is. */
    private boolean mayBeLocal(VmId member) {
        return Optional.ofNullable(entries.get(member))
                .flatMap(MemberEntry::domain)
                .filter(d -> !d.equals(domain))
                .isEmpty();
    }

    private void observeRun(VmId member, String value) {
        MemberEntry now = MemberEntry.parse(value);
        MemberEntry before = entries.put(member, now);
        if (before != null && !before.run().equals(now.run()) && !member.equals(vm)) {
            events.record(
                    EventCode.MEMBERS_CHANGED,
                    EventScope.empty(),
                    "restarted=" + member + " before=" + before.run() + " now=" + now.run());
            onMemberRestarted.run();
        }
    }

    private void register(LeaseId grantedLease) {
        store.write(
                StoreWrite.put(MEMBER_KEY_PREFIX + vm, run, grantedLease),
                response -> {
                    if (response instanceof StoreResponse.Success<StoreRevision>) {
                        lease = Optional.of(grantedLease);
                        clock.schedule(() -> renew(grantedLease), RENEWAL_INTERVAL);
                    } else {
                        clock.schedule(this::join, RETRY_DELAY);
                    }
                });
    }

    private void renew(LeaseId leaseId) {
        if (leaving || !lease.equals(Optional.of(leaseId))) {
            return;
        }
        store.renewLease(
                leaseId,
                response -> {
                    if (response instanceof StoreResponse.Mismatch<LeaseId>) {
                        if (lease.equals(Optional.of(leaseId))) {
                            lease = Optional.empty();
                            join();
                        }
                        return;
                    }
                    boolean success = response instanceof StoreResponse.Success<LeaseId>;
                    clock.schedule(() -> renew(leaseId), success ? RENEWAL_INTERVAL : RETRY_DELAY);
                });
    }
}
