package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.carobstage.account.AccountTable;
import org.carobstage.account.ClientAccount;
import org.carobstage.account.RateLimit;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.peer.PeerHello;
import org.carobstage.peer.PeerLink;
import org.carobstage.peer.PeerLinks;
import org.carobstage.peer.PeerTransport;
import org.carobstage.runtime.Clock;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;

/**
 * Enforces the limits of accounts over all processes: owns shards, grants their tokens to other
 * processes, and requests from other owners the tokens that the operations of this process need.
 */
public final class QuotaService implements AutoCloseable {
    private static final Duration LINK_TICK_INTERVAL = Duration.ofMillis(100);

    /** A process that can't reach the store is still a peer for as long as it uses its share. */
    private static final Duration MEMBER_RETENTION = Duration.ofSeconds(20);

    private final QuotaSettings settings;
    private final VmId vm;
    private final Clock clock;
    private final EventLog events;
    private final Supplier<Optional<AccountTable>> accounts;
    private final GrantLedger ledger;
    private final QuotaLimiter limiter;
    private final ShardOwnership ownership;
    private final QuotaMembers members;
    private final PeerLinks links;
    private final Map<VmId, Long> memberSeenNanos = new HashMap<>();
    private final Map<QuotaShard, Optional<ShardOwner>> owners = new HashMap<>();
    private final Map<QuotaShard, StandalonePeriod> standalone = new LinkedHashMap<>();
    private final Map<QuotaShard, Long> grants = new HashMap<>();
    private Set<VmId> knownMembers = Set.of();
    private Set<VmId> knownEstablished = Set.of();
    private Optional<ClockReading> knownRegistration = Optional.empty();
    private Optional<Clock.Timer> tickTimer = Optional.empty();
    private Optional<Long> tickAtNanos = Optional.empty();
    private boolean needed;
    private boolean closed;

    private QuotaService(
            QuotaSettings settings,
            EventLog events,
            Clock clock,
            MetadataStore store,
            PeerTransport transport,
            Supplier<Optional<AccountTable>> accounts,
            RandomGenerator random) {
        this.settings = requireNonNull(settings, "settings is null");
        this.events = requireNonNull(events, "events is null");
        this.clock = requireNonNull(clock, "clock is null");
        this.accounts = requireNonNull(accounts, "accounts is null");
        this.vm = events.vm();
        String run =
                Long.toHexString(clock.instant().toEpochMilli())
                        + "-"
                        + Integer.toHexString(random.nextInt());
        this.ledger = GrantLedger.of(this::limit);
        this.limiter = QuotaLimiter.of(vm, settings.policy(), this::limit, this::send, clock);
        this.ownership = ShardOwnership.of(vm, run, store, clock, events, new OwnershipListener());
        this.members = QuotaMembers.of(vm, run, store, clock);
        this.links =
                PeerLinks.of(
                        transport,
                        clock,
                        events,
                        PeerHello.of(vm, run),
                        memberSeenNanos::containsKey,
                        random,
                        new LinkHandler());
        QuotaShard.all().forEach(s -> standalone.put(s, new StandalonePeriod(clock.nanoTime())));
    }

    /**
     * Creates the service of a process.
     *
     * @param settings how limits are enforced
     * @param events the event log, which names the VM of the process
     * @param store the metadata store
     * @param clock the runtime's clock
     * @param transport opens and accepts links to other processes
     * @param accounts returns the current accounts, or empty if there are none
     * @return the service
     */
    public static QuotaService of(
            QuotaSettings settings,
            EventLog events,
            MetadataStore store,
            Clock clock,
            PeerTransport transport,
            Supplier<Optional<AccountTable>> accounts) {
        return new QuotaService(
                settings, events, clock, store, transport, accounts, new SplittableRandom());
    }

    /** Starts to accept links and to send messages. */
    public void start() {
        settings.peerAddress()
                .ifPresent(address -> links.listen(address).whenComplete(this::onListening));
        scheduleTick();
        tickLinks();
    }

    /**
     * Returns the limiter of the operations of this process.
     *
     * @return the limiter
     */
    public OperationLimiter limiter() {
        return (account, callback) -> {
            try {
                limiter.acquire(account, callback);
            } finally {
                scheduleTick();
            }
        };
    }

    /**
     * Applies a change of the store; keys of others are ignored.
     *
     * @param entry the current entry
     * @throws IllegalArgumentException if the key names no shard
     */
    public void onStoreChange(StoreEntry entry) {
        ownership.onStoreChange(entry);
        runLater(this::updateOwners);
        try {
            members.onStoreChange(entry);
        } finally {
            updateMembers();
        }
    }

    /** Records that the keys of the store were listed. */
    public void onStoreListed() {
        ownership.onListed();
        members.onListed();
    }

    /**
     * Sets the processes that are registered in the store.
     *
     * @param registered the members, including this process
     */
    public void onMembers(Set<VmId> registered) {
        long nowNanos = clock.nanoTime();
        registered.forEach(member -> memberSeenNanos.put(member, nowNanos));
        memberSeenNanos.values().removeIf(seen -> nowNanos - seen > MEMBER_RETENTION.toNanos());
        ownership.setMembers(registered);
    }

    /** Hands the shards of this process over; its operations are still decided. */
    public void stopOwning() {
        ownership.stop();
        runLater(this::updateOwners);
    }

    /** Closes all links; operations that wait are still decided. */
    @Override
    public void close() {
        closed = true;
        ownership.stop();
        members.end();
        links.close();
    }

    /**
     * Returns the metrics by name and labels.
     *
     * @return the current values
     */
    public Map<String, Double> metrics() {
        Map<String, Double> values = new LinkedHashMap<>();
        long nowNanos = clock.nanoTime();
        values.put("peer_links", (double) links.openLinkCount());
        values.put("peer_link_faults_total", (double) links.faultCount());
        for (QuotaShard shard : QuotaShard.all()) {
            String label = "{shard=\"" + shard.index() + "\"}";
            values.put("quota_shards_owned" + label, ownership.owns(shard) ? 1.0 : 0.0);
            values.put("quota_granted_total" + label, (double) grants.getOrDefault(shard, 0L));
            values.put(
                    "quota_standalone_seconds_total" + label,
                    standalone.get(shard).total(nowNanos).toMillis() / 1_000.0);
        }
        limiter.counters()
                .forEach(
                        (shard, counters) -> {
                            String label = "{shard=\"" + shard.index() + "\"}";
                            values.put(
                                    "quota_rejected_total" + label, (double) counters.rejected());
                            values.put(
                                    "quota_permitted_total" + label, (double) counters.permitted());
                            values.put(
                                    "quota_standalone_permitted_total" + label,
                                    (double) counters.standalonePermitted());
                        });
        return values;
    }

    private void onListening(Address address, Throwable failure) {
        if (failure == null) {
            ownership.setAddress(address);
        } else {
            events.record(
                    EventCode.PEER_LISTEN_FAILED,
                    EventScope.empty(),
                    "address=" + settings.peerAddress().get() + " " + failure);
        }
    }

    /** Schedules the next tick of the limiter, unless an earlier one is scheduled. */
    private void scheduleTick() {
        Duration delay = limiter.untilTick();
        long atNanos = clock.nanoTime() + delay.toNanos();
        if (tickAtNanos.filter(at -> at - atNanos <= 0).isEmpty()) {
            tickTimer.ifPresent(Clock.Timer::cancel);
            tickAtNanos = Optional.of(atNanos);
            tickTimer = Optional.of(clock.schedule(this::tickLimiter, delay));
        }
    }

    private void tickLimiter() {
        tickAtNanos = Optional.empty();
        tickTimer = Optional.empty();
        runLimiter(limiter::onTick);
    }

    /** An exception of a callback must not end the ticks. */
    private void runLimiter(Runnable task) {
        try {
            task.run();
        } finally {
            scheduleTick();
        }
    }

    /** Schedules the next tick first, so that an exception does not end the ticks. */
    private void tickLinks() {
        if (closed) {
            return;
        }
        clock.schedule(this::tickLinks, LINK_TICK_INTERVAL);
        needed = isAnyAccountLimited();
        ownership.setNeeded(needed);
        ownership.tick();
        members.tick(needed);
        confirmRegistration();
        links.tick();
        long nowNanos = clock.nanoTime();
        if (!needed) {
            standalone.values().forEach(period -> period.onResponse(nowNanos));
        }
        standalone.forEach((shard, period) -> recordStandalone(shard, period, nowNanos));
        updateOwners();
    }

    /**
     * Runs a task of the limiter on its own. The limiter calls back sessions, and an exception of
     * one must not reach the store's watch, the server's tick or the link that caused the call.
     */
    private void runLater(Runnable task) {
        clock.schedule(() -> runLimiter(task), Duration.ZERO);
    }

    private void updateMembers() {
        Set<VmId> all = members.all();
        Set<VmId> established = members.established();
        if (all.equals(knownMembers) && established.equals(knownEstablished)) {
            return;
        }
        knownMembers = all;
        knownEstablished = established;
        ledger.onMembers(established, ClockReading.now(clock));
        runLater(() -> limiter.onMembers(all));
    }

    private void confirmRegistration() {
        if (members.isReplaced()) {
            runLater(limiter::onReplaced);
            return;
        }
        Optional<ClockReading> registeredAt = members.registeredAt();
        if (!registeredAt.equals(knownRegistration)) {
            knownRegistration = registeredAt;
            registeredAt.ifPresent(at -> runLater(() -> limiter.onRegistered(at)));
        }
    }

    private void updateOwners() {
        for (QuotaShard shard : QuotaShard.all()) {
            Optional<ShardOwner> owner = ownership.owner(shard).filter(o -> needed);
            if (!owner.equals(owners.put(shard, owner))) {
                limiter.onOwnerChanged(shard, owner.map(ShardOwner::vm));
            }
        }
        if (settings.peerAddress().isPresent()) {
            links.setTargets(
                    QuotaShard.all().stream()
                            .flatMap(shard -> owners.get(shard).stream())
                            .filter(owner -> !owner.vm().equals(vm))
                            .map(ShardOwner::address)
                            .collect(Collectors.toSet()));
        }
    }

    private void send(VmId owner, QuotaRequest request) {
        if (owner.equals(vm)) {
            runLater(() -> onResponse(vm, answer(vm, request)));
            return;
        }
        ownership
                .owner(request.shard())
                .flatMap(o -> links.link(o.address()))
                .filter(link -> link.vm().equals(owner))
                .ifPresent(link -> QuotaMessageCodec.encode(request).ifPresent(link::send));
    }

    private QuotaResponse answer(VmId peer, QuotaRequest request) {
        QuotaResponse response = ledger.onRequest(peer, request, ClockReading.now(clock));
        long tokens = response.grants().values().stream().mapToLong(Grant::tokens).sum();
        grants.merge(request.shard(), tokens, Long::sum);
        return response;
    }

    private void onResponse(VmId from, QuotaResponse response) {
        if (response.owner()) {
            standalone
                    .get(response.shard())
                    .onResponse(clock.nanoTime())
                    .ifPresent(
                            length ->
                                    events.record(
                                            EventCode.QUOTA_STANDALONE_ENDED,
                                            EventScope.empty(),
                                            "shard="
                                                    + response.shard().index()
                                                    + " owner="
                                                    + from
                                                    + " after_ms="
                                                    + length.toMillis()));
        }
        runLater(() -> limiter.onResponse(from, response));
    }

    private void recordStandalone(QuotaShard shard, StandalonePeriod period, long nowNanos) {
        if (needed && period.begins(nowNanos)) {
            events.record(
                    EventCode.QUOTA_STANDALONE_STARTED,
                    EventScope.empty(),
                    "shard="
                            + shard.index()
                            + " owner="
                            + ownership.owner(shard).map(o -> o.vm().value()).orElse("none"));
        }
    }

    private boolean isAnyAccountLimited() {
        return accounts.get().stream()
                .flatMap(table -> table.accounts().stream())
                .anyMatch(account -> account.limit().isPresent());
    }

    private Optional<RateLimit> limit(AccountName account) {
        return accounts.get().flatMap(table -> table.find(account)).flatMap(ClientAccount::limit);
    }

    private final class OwnershipListener implements ShardOwnership.Listener {
        @Override
        public void onGained(QuotaShard shard) {
            ClockReading now = ClockReading.now(clock);
            ledger.startOwning(shard, now, now);
        }

        @Override
        public void onExtended(QuotaShard shard, ClockReading until) {
            ledger.extendOwning(shard, until);
        }

        @Override
        public void onLost(QuotaShard shard) {
            ledger.stopOwning(shard);
        }
    }

    private final class LinkHandler implements PeerLinks.Handler {
        @Override
        public void onMessage(PeerLink link, byte[] message) {
            if (link.isOutgoing()) {
                onResponse(link.vm(), QuotaMessageCodec.decodeResponse(message));
            } else {
                QuotaRequest request = QuotaMessageCodec.decodeRequest(message);
                QuotaMessageCodec.encode(answer(link.vm(), request)).ifPresent(link::send);
            }
        }

        @Override
        public void onClosed(PeerLink link) {
            // The limiter finds the loss by its time-out, as it does that of a silent link.
        }
    }
}
