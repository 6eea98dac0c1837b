package org.carobstage.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StoreWatcherTest {
    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeMetadataStore store = FakeMetadataStore.of(clock);
    private final FakeMetadataStore.Client client = store.client();
    private final Map<String, String> values = new TreeMap<>();
    private int reconnects;

    @BeforeEach
    void start() {
        store.put("op/config", "1");
        startWatcher(client);
        clock.advance(Duration.ofMillis(50));
    }

    @Test
    void shouldReportChangesWhenKeysAreWrittenAndDeleted() {
        store.put("op/config", "2");
        store.put("servers/a", "x");
        clock.advance(Duration.ofMillis(100));
        store.delete("servers/a");
        clock.advance(Duration.ofMillis(100));

        assertThat(values).containsExactly(Map.entry("op/config", "2"));
    }

    // An exception while one entry is applied ended the watch, and later configurations were lost.
    @Test
    void shouldContinueWatchingWhenEntryCausesUnexpectedException() {
        store.put("servers/faulty", "x");
        clock.advance(Duration.ofMillis(100));
        store.put("op/config", "2");
        clock.advance(Duration.ofMillis(400));

        assertThat(values).containsEntry("op/config", "2");
    }

    // The stack overflowed on one entry, and the call that would have continued the watch was lost.
    @Test
    void shouldContinueWatchingWhenEntryOverflowsTheStack() {
        store.put("servers/deep", "x");
        clock.advance(Duration.ofMillis(100));
        store.put("op/config", "2");
        clock.advance(Duration.ofMillis(400));

        assertThat(values).containsEntry("op/config", "2");
    }

    @Test
    void shouldListAgainWhenHistoryIsCompacted() {
        store.put("servers/a", "x");
        clock.advance(Duration.ofMillis(100));
        store.compact();
        store.delete("servers/a");
        store.put("op/config", "3");
        clock.advance(Duration.ofMillis(200));

        assertThat(values).containsExactly(Map.entry("op/config", "3"));
    }

    @Test
    void shouldCatchUpWhenStoreIsReachableAgain() {
        client.setReachable(false);
        store.put("op/config", "4");
        clock.advance(Duration.ofSeconds(5));
        assertThat(values).containsEntry("op/config", "1");

        client.setReachable(true);
        clock.advance(Duration.ofSeconds(1));

        assertThat(values).containsEntry("op/config", "4");
        assertThat(reconnects).isEqualTo(2);
    }

    @Test
    void shouldListAgainWhenStoreIsRestoredFromCopy() {
        store.put("servers/a", "x");
        clock.advance(Duration.ofMillis(100));
        store.copy();
        store.put("op/config", "2");
        store.put("servers/b", "y");
        store.delete("servers/a");
        clock.advance(Duration.ofMillis(100));
        assertThat(values).containsOnlyKeys("op/config", "servers/b");

        store.restore();
        clock.advance(Duration.ofMillis(100));

        assertThat(values).containsOnly(Map.entry("op/config", "1"), Map.entry("servers/a", "x"));
        assertThat(reconnects).isEqualTo(2);
    }

    @Test
    void shouldReportChangeWhenRestoredStoreAssignsItsRevisionAgain() {
        store.copy();
        store.put("op/config", "lost");
        clock.advance(Duration.ofMillis(100));
        store.restore();
        clock.advance(Duration.ofMillis(100));
        store.put("op/config", "again");
        clock.advance(Duration.ofMillis(100));

        assertThat(values).containsEntry("op/config", "again");
    }

    @Test
    void shouldLimitCallsWhenNothingChanges() {
        int before = client.callCount();
        clock.advance(Duration.ofSeconds(60));

        assertThat(client.callCount() - before).isLessThanOrEqualTo(16);
    }

    // All processes start while the store is silent: guards against a first listing that is
    // repeated
    // only after its timeout, while the store has returned.
    @Test
    void shouldListSoonAfterStoreReturnsWhenFirstListingIsLost() {
        FakeMetadataStore.Client starting = store.client();
        starting.loseListings(true);
        values.clear();
        startWatcher(starting);
        clock.advance(Duration.ofMillis(1_900));
        starting.loseListings(false);
        clock.advance(Duration.ofMillis(300));

        assertThat(values).containsKey("op/config");
        int before = starting.callCount();
        clock.advance(Duration.ofSeconds(60));
        assertThat(starting.callCount() - before).isLessThanOrEqualTo(16);
    }

    private void startWatcher(FakeMetadataStore.Client storeClient) {
        StoreWatcher.of(
                        storeClient,
                        clock,
                        EventLog.of(VmId.of("vm"), clock, 10),
                        StoreWatcher.Listener.of(this::applyChange, () -> {}, () -> reconnects++))
                .start();
    }

    private void applyChange(StoreEntry entry) {
        if (entry.key().endsWith("faulty")) {
            throw new IllegalStateException("faulty entry");
        }
        if (entry.key().endsWith("deep")) {
            applyChange(entry);
        }
        entry.value()
                .ifPresentOrElse(
                        value -> values.put(entry.key(), value), () -> values.remove(entry.key()));
    }
}
