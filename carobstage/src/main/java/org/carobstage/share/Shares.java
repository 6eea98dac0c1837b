package org.carobstage.share;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.carobstage.error.CodedException;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.http.Json;
import org.carobstage.membership.Peers;
import org.carobstage.model.GroupId;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.VmId;
import org.carobstage.ownership.Ownership;
import org.carobstage.platform.CasResult;
import org.carobstage.platform.Entry;
import org.carobstage.platform.Platform;
import org.carobstage.pool.Share;
import org.carobstage.runtime.Clock;

/** This process's parts of the limits of all groups, agreed through the key-value service. */
public final class Shares implements AutoCloseable {
    /** The prefix of the keys of the records. */
    public static final String PREFIX = "shares/";

    /** How many members own a group in a large fleet. */
    public static final int OWNERS = 4;

    private static final Duration TICK = Duration.ofMillis(500);
    private static final long PROOF_NANOS = Duration.ofSeconds(6).toNanos();
    private static final long REVOKED_NANOS = Duration.ofSeconds(8).toNanos();
    private static final long REVOKED_GAP_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long BUSY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long QUIET_NANOS = Duration.ofSeconds(60).toNanos();

    private final Platform platform;
    private final Clock clock;
    private final Executor duty;
    private final Peers peers;
    private final EventLog events;
    private final Function<GroupSpec, Share> used;
    private final Contact contact;
    private final Map<GroupId, Part> parts = new ConcurrentHashMap<>();
    private Ownership owned = Ownership.of(List.of(), OWNERS);
    private volatile boolean holds;
    private volatile long heldAt;
    private volatile boolean closed;

    private Shares(
            Platform platform,
            Clock clock,
            Executor duty,
            Peers peers,
            EventLog events,
            Function<GroupSpec, Share> used) {
        this.platform = platform;
        this.clock = clock;
        this.duty = duty;
        this.peers = peers;
        this.events = events;
        this.used = used;
        this.contact = new Contact(clock.nanoTime());
    }

    /**
     * Starts to agree on shares.
     *
     * @param platform the platform
     * @param clock the runtime's clock
     * @param duty the fleet's duty
     * @param peers the other processes
     * @param events records changes
     * @param used tells what this process uses of a group's limits at its busiest instance
     * @return the running shares
     */
    public static Shares of(
            Platform platform,
            Clock clock,
            Executor duty,
            Peers peers,
            EventLog events,
            Function<GroupSpec, Share> used) {
        requireNonNull(platform, "platform is null");
        requireNonNull(used, "used is null");
        Shares shares = new Shares(platform, clock, duty, peers, events, used);
        duty.execute(shares::tick);
        return shares;
    }

    /**
     * Sets the groups to agree on.
     *
     * @param groups the groups
     */
    public void configure(Collection<GroupSpec> groups) {
        groups.forEach(g -> parts.computeIfAbsent(g.id(), id -> new Part()).spec = g);
    }

    /**
     * Returns what this process may use of the limits of a group's instances now.
     *
     * @param group the group
     * @return its part, nothing if it is not proven to stand
     */
    public Share share(GroupId group) {
        Part part = parts.get(group);
        if (part == null) {
            return ShareRecord.NONE;
        }
        long now = clock.nanoTime();
        boolean read = part.known && now - part.readAt < PROOF_NANOS;
        boolean agreed = part.known && holds && now - heldAt < PROOF_NANOS;
        return read || agreed ? part.usable : ShareRecord.NONE;
    }

    /**
     * Returns the last known record of a group.
     *
     * @param group the group
     * @return the parts of all processes
     */
    public ShareRecord record(GroupId group) {
        Part part = parts.get(group);
        return part == null ? ShareRecord.empty() : part.record;
    }

    @Override
    public void close() {
        closed = true;
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = clock.nanoTime();
        if (contact.update(peers.members(), now)) {
            parts.values().forEach(p -> p.known = false);
        }
        holds = contact.holds(now);
        heldAt = now;
        Ownership ownership = Ownership.of(peers.members(), OWNERS);
        boolean moved = !ownership.equals(owned);
        owned = ownership;
        Set<VmId> gone = contact.gone(now);
        parts.values().forEach(p -> step(p, moved, gone, now));
        clock.schedule(() -> duty.execute(this::tick), TICK);
    }

    private void step(Part part, boolean moved, Set<VmId> gone, long now) {
        VmId self = peers.self().vm();
        Share own = part.record.part(self);
        if (moved || part.dividedFor != part.spec) {
            part.dividedFor = part.spec;
            part.divided = ShareTarget.of(owned, part.spec, self);
        }
        part.target = contact.half() ? part.divided : smaller(part.divided, own);
        use(part, own);
        boolean concerned = !part.target.equals(ShareRecord.NONE) || !own.equals(ShareRecord.NONE);
        boolean busy = !part.known || !part.target.equals(own) || !holds;
        long interval = busy ? BUSY_NANOS : QUIET_NANOS;
        boolean due = part.asked == 0 || now - part.asked >= interval;
        if (concerned && due) {
            part.asked = now;
            platform.get(PREFIX + part.spec.id())
                    .thenAcceptAsync(entry -> entry.ifPresent(e -> read(part, e, gone, now)), duty);
        }
    }

    private void read(Part part, Entry entry, Set<VmId> gone, long asked) {
        if (entry.version() < part.version) {
            return;
        }
        part.version = entry.version();
        part.record = parse(entry);
        part.known = true;
        part.readAt = asked;
        use(part, part.record.part(peers.self().vm()));
        Share limit = new Share(part.spec.slots(), part.spec.connections());
        part.record
                .next(
                        peers.self().vm(),
                        limit,
                        part.target,
                        used.apply(part.spec),
                        gone,
                        part.expired(clock.nanoTime()))
                .ifPresent(next -> store(part, entry, next));
    }

    private void store(Part part, Entry entry, ShareRecord next) {
        VmId self = peers.self().vm();
        Share own = next.part(self);
        use(part, smaller(own, part.record.part(self)));
        long asked = clock.nanoTime();
        platform.compareAndSwap(entry.key(), entry.version(), Json.text(next))
                .thenAcceptAsync(result -> stored(part, result, next, asked), duty);
    }

    private void stored(Part part, CasResult result, ShareRecord next, long asked) {
        if (result instanceof CasResult.Swapped swapped) {
            part.version = swapped.entry().version();
            part.record = next;
            part.readAt = asked;
            Share own = next.part(peers.self().vm());
            use(part, own);
            events.record(
                    EventCode.SHARE_RECORDED,
                    EventScope.of(part.spec.id()),
                    next.parts().toString());
        } else {
            part.asked = 0;
        }
    }

    /** A part that is to shrink is used no further than its target. */
    private static void use(Part part, Share own) {
        part.usable = smaller(own, part.target);
    }

    private static Share smaller(Share one, Share other) {
        return new Share(
                Math.min(one.slots(), other.slots()),
                Math.min(one.connections(), other.connections()));
    }

    private static ShareRecord parse(Entry entry) {
        if (entry.version() == 0) {
            return ShareRecord.empty();
        }
        try {
            return Json.read(entry.value().getBytes(UTF_8), ShareRecord.class);
        } catch (CodedException e) {
            return ShareRecord.empty();
        }
    }

    private static final class Part {
        private volatile GroupSpec spec;
        private volatile ShareRecord record = ShareRecord.empty();
        private volatile Share usable = ShareRecord.NONE;
        private volatile boolean known;
        private volatile long readAt;
        private GroupSpec dividedFor;
        private Share divided = ShareRecord.NONE;
        private Share target = ShareRecord.NONE;
        private final Map<VmId, Long> revokedSince = new HashMap<>();
        private long expiredAt;
        private long version;
        private long asked;

        /** Returns the parts that this process has known as revoked for long enough. */
        private Set<VmId> expired(long now) {
            if (now - expiredAt >= REVOKED_GAP_NANOS) {
                revokedSince.clear();
            }
            expiredAt = now;
            Set<VmId> revoked = record.revoked().keySet();
            revokedSince.keySet().retainAll(revoked);
            revoked.forEach(vm -> revokedSince.putIfAbsent(vm, now));
            return revoked.stream()
                    .filter(vm -> now - revokedSince.get(vm) >= REVOKED_NANOS)
                    .collect(Collectors.toSet());
        }
    }
}
