package org.carobstage.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.fake.MessageFilter;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreWatcher;
import org.junit.jupiter.api.Test;

class ShardOwnershipTest {
    private static final String KEY = "carobstage/quota/0";
    private static final QuotaShard SHARD = new QuotaShard(0);
    private static final Address ADDRESS = Address.of("127.0.0.1", 1);
    private static final Address OTHER_ADDRESS = Address.of("127.0.0.1", 2);

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeMetadataStore store = FakeMetadataStore.of(clock);
    private final List<Process> processes = new ArrayList<>();

    // Two candidates that see the key missing at the same moment must not both grant.
    @Test
    void shouldHaveOneOwnerOfEachShardWhenAllProcessesStartAtOnce() {
        start(4);
        advance(6_000);

        assertThat(QuotaShard.all()).allMatch(shard -> owners(shard).size() == 1);
        assertThat(processes).allMatch(p -> ownedBy(p).size() == 1);
    }

    // A process that starts can't know whether the store was restored a moment ago.
    @Test
    void shouldOwnNothingWhenLeaseOfEarlierEraMayStillBeInUse() {
        start(1);
        advance(2_900);
        assertThat(ownedBy(processes.get(0))).isEmpty();
        advance(1_000);

        assertThat(ownedBy(processes.get(0))).contains(SHARD);
    }

    // All processes lose power and start again: until a shard has an owner, each process decides by
    // its equal share, which refused 3,900 operations of 34 processes in 3 s.
    @Test
    void shouldTakeOverShardsOfEarlierRunAtOnceWhenProcessIsReplaced() {
        start(2);
        advance(8_000);
        Process former = owners(SHARD).get(0);
        processes.remove(former);
        former.client.setReachable(false);

        Process replacement = new Process(former.vm, "next-run", ADDRESS);
        processes.add(replacement);
        advance(300);

        assertThat(replacement.isGranting(SHARD)).isTrue();
    }

    // The owners of an earlier era may still act, so what an earlier run had in it proves nothing.
    @Test
    void shouldNotTakeOverShardsOfEarlierRunWhenStoreWasRestored() {
        start(1);
        advance(8_000);
        Process former = processes.get(0);
        store.copy();
        former.client.setReachable(false);
        store.restore();

        Process replacement = new Process(former.vm, "next-run", ADDRESS);
        advance(2_500);

        assertThat(ownedBy(replacement)).isEmpty();
    }

    // Another VM's run may be alive, although it does not answer.
    @Test
    void shouldNotTakeOverShardsOfAnotherVm() {
        start(1);
        advance(8_000);
        processes.get(0).client.setReachable(false);

        Process other = new Process(VmId.of("vm-other"), "run", ADDRESS);
        advance(2_500);

        assertThat(ownedBy(other)).isEmpty();
    }

    // A single process must not leave shards without an owner.
    @Test
    void shouldOwnAllShardsWhenThereIsNoOtherMember() {
        start(1);
        advance(8_000);

        assertThat(ownedBy(processes.get(0))).hasSize(QuotaShard.COUNT);
    }

    // Without this, the shard of a write whose answer was lost has no owner until its lease ends.
    @Test
    void shouldOwnShardWhenAnswerOfItsWriteIsLost() {
        start(1);
        processes
                .get(0)
                .client
                .setMessageFilter(
                        call ->
                                call.startsWith("WRITE")
                                        ? MessageFilter.Fate.ANSWER_LOST
                                        : MessageFilter.Fate.DELIVERED);
        advance(3_400);

        assertThat(ownedBy(processes.get(0))).contains(SHARD);
    }

    // A key that was gone before the watch had shown it was deleted in vain, again and again.
    @Test
    void shouldOwnShardAgainWhenItsKeyWasLostBeforeTheWatchShowedIt() {
        start(1);
        Process process = processes.get(0);
        process.client.holdWatch(true);
        advance(20_000);
        assertThat(ownedBy(process)).hasSize(QuotaShard.COUNT);
        store.endLeaseOf(KEY);
        store.compact();
        advance(5_000);
        process.client.holdWatch(false);
        advance(10_000);

        assertThat(ownedBy(process)).hasSize(QuotaShard.COUNT);
    }

    // A store that keeps rejecting is called again and again without a delay.
    @Test
    void shouldWaitBeforeNextCallWhenStoreRejectsKnownRevision() {
        start(1);
        advance(8_000);
        Process process = processes.get(0);
        process.client.rejectWrites(true);
        store.endLeaseOf(KEY);
        store.put(KEY, value(process, 1, new LeaseId(900)));
        advance(1_000);
        int callCount = process.client.callCount();
        advance(5_000);

        assertThat(process.client.callCount() - callCount).isLessThan(200);
    }

    // A write that is executed after its lease was given up must not block the shard.
    @Test
    void shouldDeleteOwnEntryWhenItIsNotHeld() {
        start(1);
        Process process = processes.get(0);
        store.put(KEY, value(process, 1, new LeaseId(7)));
        advance(4_000);

        assertThat(ownedBy(process)).contains(SHARD);
    }

    // A restored store gives lease ids out again: the entry would last as long as another's lease.
    @Test
    void shouldDeleteEntryOfEarlierEraWhenItsLeaseIdWasGivenOutAgain() {
        start(2);
        advance(6_000);
        store.copy();
        store.restore();
        store.put(KEY, value("vm-9", "r", 1, new LeaseId(100)));
        advance(6_000);

        assertThat(owners(SHARD)).hasSize(1);
    }

    // A frozen owner resumes after its lease has ended; only the time of day shows that.
    @Test
    void shouldNotOwnShardWhenSuspendedBeyondItsLease() {
        start(1);
        advance(8_000);
        clock.suspend(Duration.ofMillis(2_800));

        assertThat(processes.get(0).ownership.owns(SHARD)).isFalse();
        assertThat(processes.get(0).validUntil.get(SHARD).epochNanos())
                .isLessThan(ClockReading.now(clock).epochNanos());
    }

    @Test
    void shouldStopBeforeAnotherProcessOwnsShardWhenStoreIsAway() {
        start(2);
        advance(8_000);
        Process owner = owners(SHARD).get(0);
        owner.client.setReachable(false);
        for (int i = 0; i < 700; i++) {
            advance(10);
            assertThat(owners(SHARD)).hasSizeLessThan(2);
        }
        assertThat(owners(SHARD)).hasSize(1).doesNotContain(owner);
        owner.client.setReachable(true);
        for (int i = 0; i < 700; i++) {
            advance(10);
            assertThat(owners(SHARD)).hasSize(1);
        }
    }

    // A lease of the old era may be lost or belong to another process in the new one.
    @Test
    void shouldWaitBeforeOwningShardAgainWhenStoreIsRestored() {
        start(2);
        store.copy();
        advance(8_000);
        store.restore();
        advance(100);
        assertThat(owners(SHARD)).isEmpty();
        advance(2_700);
        assertThat(owners(SHARD)).isEmpty();
        advance(2_000);

        assertThat(owners(SHARD)).hasSize(1);
    }

    // Around a planned stop, no two processes may grant at any moment.
    @Test
    void shouldHandShardOverWithoutOverlapWhenOwnerStops() {
        start(3);
        advance(6_000);
        Process owner = owners(SHARD).get(0);
        owner.ownership.stop();
        assertThat(owners(SHARD)).isEmpty();
        for (int i = 0; i < 1_500; i++) {
            advance(1);
            assertThat(owners(SHARD)).hasSizeLessThan(2).doesNotContain(owner);
        }

        assertThat(owners(SHARD)).hasSize(1);
    }

    // The key of a stopped process must not be written by a request that is still in transit.
    @Test
    void shouldLeaveNoEntryWhenStoppedWhileItsWriteIsInTransit() {
        start(1);
        processes
                .get(0)
                .client
                .setMessageFilter(
                        call ->
                                call.startsWith("WRITE")
                                        ? MessageFilter.Fate.late(Duration.ofMillis(2_000))
                                        : MessageFilter.Fate.DELIVERED);
        advance(3_060);
        processes.get(0).ownership.stop();
        advance(5_000);

        assertThat(store.keys("carobstage/quota/")).isEmpty();
    }

    // A run at another address may still act, and has granted tokens that the later one does not
    // know of.
    @Test
    void shouldNotOwnShardsOfEarlierRunWhenItMayStillListen() {
        start(1);
        advance(8_000);
        Process replaced = processes.remove(0);
        replaced.client.setReachable(false);
        processes.add(new Process(replaced.vm, "later", OTHER_ADDRESS));
        for (int i = 0; i < 500; i++) {
            advance(10);
            Process later = processes.get(0);
            assertThat(replaced.isGranting(SHARD) && later.isGranting(SHARD)).isFalse();
        }
        advance(3_000);

        assertThat(ownedBy(processes.get(0))).hasSize(QuotaShard.COUNT);
    }

    // The lookup of a name would block the event loop of every process.
    @Test
    void shouldRefuseEntryWhenItsAddressIsAName() {
        String text = value("vm-9", "r", 1, new LeaseId(1)).replace("127.0.0.1", "example.org");

        assertThatThrownBy(() -> ShardOwner.parse(text))
                .isInstanceOf(IllegalArgumentException.class);
    }

    // Another build may have written the entry, whose owner would go on granting.
    @Test
    void shouldLeaveEntryOfOtherWriterWhenItCannotBeParsed() {
        store.put(KEY, "\u0000{");
        start(1);
        advance(8_000);

        assertThat(store.get(KEY)).contains("\u0000{");
        assertThat(ownedBy(processes.get(0))).hasSize(3).doesNotContain(SHARD);
        assertThat(processes.get(0).events.localEvents())
                .filteredOn(e -> e.code() == EventCode.QUOTA_SHARD_REFUSED)
                .hasSize(1);
        store.delete(KEY);
        advance(3_000);
        assertThat(ownedBy(processes.get(0))).contains(SHARD);
    }

    // A renewal that the store answers with a mismatch ends all keys at once.
    @Test
    void shouldOwnShardAgainWhenLeaseWasLostInStore() {
        start(1);
        advance(8_000);
        store.keys("carobstage/quota/").forEach(store::delete);
        advance(100);
        assertThat(owners(SHARD)).hasSizeLessThan(2);
        advance(4_000);

        assertThat(ownedBy(processes.get(0))).hasSize(QuotaShard.COUNT);
    }

    private void start(int count) {
        for (int i = 0; i < count; i++) {
            processes.add(new Process(VmId.of("vm-" + processes.size())));
        }
        Set<VmId> members = processes.stream().map(p -> p.vm).collect(Collectors.toSet());
        processes.forEach(p -> p.ownership.setMembers(members));
    }

    private List<Process> owners(QuotaShard shard) {
        return processes.stream().filter(p -> p.isGranting(shard)).toList();
    }

    private List<QuotaShard> ownedBy(Process process) {
        return QuotaShard.all().stream().filter(process::isGranting).toList();
    }

    private void advance(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    private static String value(Process process, long era, LeaseId lease) {
        return value(process.vm.value(), "run-" + process.vm, era, lease);
    }

    private static String value(String vm, String run, long era, LeaseId lease) {
        return new ShardOwner(VmId.of(vm), run, era, lease, Address.of("127.0.0.1", 1)).format();
    }

    private final class Process implements ShardOwnership.Listener {
        private final VmId vm;
        private final FakeMetadataStore.Client client = store.client();
        private final EventLog events;
        private final ShardOwnership ownership;
        private final Set<QuotaShard> gained = new HashSet<>();
        private final Map<QuotaShard, ClockReading> validUntil = new HashMap<>();

        private Process(VmId vm) {
            this(vm, "run-" + vm, ADDRESS);
        }

        private Process(VmId vm, String run, Address address) {
            this.vm = vm;
            this.events = EventLog.of(vm, clock, 100);
            this.ownership = ShardOwnership.of(vm, run, client, clock, events, this);
            ownership.setAddress(address);
            ownership.setNeeded(true);
            StoreWatcher.of(
                            client,
                            clock,
                            events,
                            StoreWatcher.Listener.of(
                                    ownership::onStoreChange, ownership::onListed, () -> {}))
                    .start();
            tick();
        }

        private void tick() {
            clock.schedule(this::tick, Duration.ofMillis(50));
            ownership.tick();
        }

        /** Returns whether the ledger would grant tokens of the shard. */
        private boolean isGranting(QuotaShard shard) {
            ClockReading now = ClockReading.now(clock);
            return gained.contains(shard)
                    && now.monotonicNanos() < validUntil.get(shard).monotonicNanos()
                    && now.epochNanos() < validUntil.get(shard).epochNanos();
        }

        @Override
        public void onGained(QuotaShard shard) {
            gained.add(shard);
        }

        @Override
        public void onExtended(QuotaShard shard, ClockReading until) {
            validUntil.put(shard, until);
        }

        @Override
        public void onLost(QuotaShard shard) {
            gained.remove(shard);
        }
    }
}
