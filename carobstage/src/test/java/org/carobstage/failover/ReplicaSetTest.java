package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.fake.FakeService;
import org.carobstage.fake.MessageFilter;
import org.carobstage.fake.MessageFilter.Fate;
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.store.StoreWatcher;
import org.junit.jupiter.api.Test;

class ReplicaSetTest {
    private static final String KEY = "carobstage/replicas/forms";
    private static final int STEP_MILLIS = 100;

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeMetadataStore store = FakeMetadataStore.of(clock);
    private final FakeService service = FakeService.of(clock);
    private final FakeMetadataStore.Client client = store.client();
    private final ReplicaSet replicas = startReplicaSet(client);
    private boolean firstRanked = true;

    // A process that starts while a replica is absent does not know it.
    @Test
    void shouldCountRecordedReplicaAsAbsentWhenItIsNotRegistered() {
        observe(1_000, "a", "b", "c");
        ReplicaSet started = startReplicaSet(store.client());
        clock.advance(Duration.ofMillis(100));
        assertThat(started.absent()).hasSize(3);
        started.observe(entries("a", "b"), true);

        assertThat(started.absent()).containsExactly(InstanceId.of("c"));
    }

    // The times of several shorter absences add up.
    @Test
    void shouldStartAbsenceAgainWhenReplicaWasRegisteredMeanwhile() {
        observe(100, "a", "b");
        observe(20_000, "a");
        observe(100, "a", "b");
        observe(20_000, "a");

        assertThat(replicas.absent()).containsExactly(InstanceId.of("b"));
    }

    // An instance whose entry can't be written while the store is down is taken as gone.
    @Test
    void shouldNotCountAbsenceWhenStoreIsUnreachable() {
        observe(100, "a", "b");
        observe(20_000, "a");
        for (int i = 0; i < 200; i++) {
            replicas.observe(entries("a"), false);
            clock.advance(Duration.ofMillis(STEP_MILLIS));
        }
        observe(29_000, "a");
        assertThat(replicas.absent()).containsExactly(InstanceId.of("b"));

        observe(2_000, "a");

        assertThat(replicas.absent()).isEmpty();
        assertThat(store.get(KEY)).contains("a");
    }

    // A step of the time of day ends an absence that has just begun.
    @Test
    void shouldNotEndAbsenceWhenTimeOfDayIsStepped() {
        observe(100, "a", "b");
        observe(1_000, "a");
        clock.suspend(Duration.ofSeconds(60));
        observe(1_000, "a");

        assertThat(replicas.absent()).containsExactly(InstanceId.of("b"));
    }

    // Hundreds of services write at each tick.
    @Test
    void shouldWriteOnceWhenMembersAreTheSame() {
        observe(1_000, "a", "b", "c");
        int callCount = client.callCount();
        for (int i = 0; i < 20; i++) {
            replicas.observe(entries("a", "b", "c"), true);
            replicas.update(true);
        }

        assertThat(store.get(KEY)).contains("a b c");
        assertThat(client.callCount()).isEqualTo(callCount);
    }

    // Processes overwrite each other's records.
    @Test
    void shouldNotWriteWhenAnotherProcessRanksFirst() {
        firstRanked = false;
        observe(2_000, "a", "b");

        assertThat(store.get(KEY)).isEmpty();
    }

    // A write that is executed late replaces a newer record.
    @Test
    void shouldKeepNewerRecordWhenEarlierWriteIsExecutedLate() {
        client.setMessageFilter(message -> Fate.late(Duration.ofSeconds(5)));
        observe(100, "a");
        client.setMessageFilter(MessageFilter.NONE);
        observe(2_000, "a", "b");
        for (int i = 0; i < 50; i++) {
            observe(STEP_MILLIS, "a", "b");
            assertThat(store.get(KEY)).contains("a b");
        }
    }

    // A failed write leaves the record without a member for good.
    @Test
    void shouldWriteAgainWhenWriteWasLost() {
        client.setMessageFilter(message -> Fate.LOST);
        observe(1_000, "a", "b");
        client.setMessageFilter(MessageFilter.NONE);
        observe(2_000, "a", "b");

        assertThat(store.get(KEY)).contains("a b");
    }

    // A value of another writer ends the watch, or empties the set.
    @Test
    void shouldReplaceRecordWhenItIsUnreadable() {
        observe(100, "a", "b");
        for (String value : List.of("", " ", "a  b", "a\nb", "\uFFFD")) {
            store.put(KEY, value);
            observe(500, "a");
            assertThat(replicas.absent()).containsExactly(InstanceId.of("b"));
            assertThat(store.get(KEY)).contains("a b");
        }
    }

    // A long record of another writer overflows the stack, which ends the watch.
    @Test
    void shouldReplaceRecordWhenItIsVeryLong() {
        observe(100, "a", "b");
        for (String value : List.of("x ".repeat(500_000) + "x", "x".repeat(1 << 20) + " ")) {
            store.put(KEY, value);
            observe(500, "a");
            assertThat(replicas.absent()).containsExactly(InstanceId.of("b"));
            assertThat(store.get(KEY)).contains("a b");
        }
    }

    // Each change of the members of a record with thousands of ids is logged with all of them.
    @Test
    void shouldReplaceRecordWhenItListsTooManyIds() {
        observe(100, "a", "b");
        store.put(
                KEY,
                IntStream.range(0, 1_001).mapToObj(i -> "x" + i).collect(Collectors.joining(" ")));
        observe(500, "a");

        assertThat(replicas.absent()).containsExactly(InstanceId.of("b"));
        assertThat(store.get(KEY)).contains("a b");
    }

    // A deleted record empties the set, also for the processes that start later.
    @Test
    void shouldWriteRecordAgainWhenItWasDeleted() {
        observe(100, "a", "b");
        store.delete(KEY);
        observe(100, "a");

        assertThat(replicas.absent()).containsExactly(InstanceId.of("b"));
        assertThat(store.get(KEY)).contains("a b");
    }

    // The store rejects the revision of a lost record for good if the watch never delivered it.
    @Test
    void shouldWriteRecordAgainWhenStoreIsRestoredBeforeTheWatchDeliversIt() {
        store.copy();
        client.holdWatch(true);
        clock.advance(Duration.ofSeconds(5));
        observe(100, "a", "b");
        assertThat(store.get(KEY)).contains("a b");
        store.restore();
        client.holdWatch(false);
        observe(6_000, "a");

        assertThat(replicas.absent()).containsExactly(InstanceId.of("b"));
        assertThat(store.get(KEY)).contains("a b");
    }

    // A record that was deleted before the watch had shown it could never be written again.
    @Test
    void shouldWriteRecordAgainWhenItWasDeletedBeforeTheWatchShowedIt() {
        client.holdWatch(true);
        clock.advance(Duration.ofSeconds(20));
        observe(500, "a", "b", "c");
        assertThat(store.get(KEY)).contains("a b c");
        store.delete(KEY);
        store.compact();
        client.holdWatch(false);
        observe(3_000, "a", "b", "c", "d");

        assertThat(store.get(KEY)).contains("a b c d");
    }

    // An earlier record, as of a restored store, empties the set.
    @Test
    void shouldKeepMemberWhenRestoredRecordLacksIt() {
        observe(100, "a");
        store.copy();
        observe(100, "a", "b");
        store.restore();
        observe(2_000, "a");

        assertThat(replicas.absent()).containsExactly(InstanceId.of("b"));
        assertThat(store.get(KEY)).contains("a b");
    }

    // A process that doesn't know the address of an absent instance waits for it although another
    // process has seen its successor.
    @Test
    void shouldRemoveAbsentReplicaWhenFirstRankedProcessHasRemovedIt() {
        firstRanked = false;
        store.put(KEY, "a b c");
        observe(1_000, "a", "d");
        assertThat(replicas.absent()).containsExactly(InstanceId.of("b"), InstanceId.of("c"));
        store.put(KEY, "a c d");
        observe(100, "a", "d");

        assertThat(replicas.absent()).containsExactly(InstanceId.of("c"));
    }

    private ReplicaSet startReplicaSet(FakeMetadataStore.Client storeClient) {
        VmId vm = VmId.of("vm-0");
        EventLog events = EventLog.of(vm, clock, 100);
        FailoverContext context =
                new FailoverContext(
                        vm,
                        clock,
                        storeClient,
                        service.promotionClient(MessageFilter.NONE),
                        events,
                        false);
        ReplicaSet started = new ReplicaSet(context, FakeService.NAME);
        storeClient.era().addListener(era -> started.onStoreRestored());
        StoreWatcher.of(
                        storeClient,
                        clock,
                        events,
                        StoreWatcher.Listener.of(started::onStoreChange, () -> {}, () -> {}))
                .start();
        clock.advance(Duration.ofMillis(STEP_MILLIS));
        return started;
    }

    private void observe(int millis, String... registered) {
        for (int elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            replicas.observe(entries(registered), true);
            replicas.update(firstRanked);
            clock.advance(Duration.ofMillis(STEP_MILLIS));
        }
    }

    private List<InstanceEntry> entries(String... registered) {
        Stream.of(registered)
                .filter(id -> service.instance(id) == null)
                .forEach(id -> service.addInstance(id, "domain-" + id));
        return Arrays.stream(registered).map(service::instanceEntry).toList();
    }
}
