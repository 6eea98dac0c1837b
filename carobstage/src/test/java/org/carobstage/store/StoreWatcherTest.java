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
    private final FakeMetadataStore.Client view = store.client();
    private final Map<String, String> seen = new TreeMap<>();
    private int regained;

    @BeforeEach
    void start() {
        store.put("op/config", "1");
        StoreWatcher.of(
                        view,
                        clock,
                        EventLog.of(VmId.of("vm"), clock, 10),
                        StoreWatcher.Listener.of(this::changed, () -> {}, () -> regained++))
                .start();
        clock.advance(Duration.ofMillis(50));
    }

    @Test
    void shouldListAndFollowChanges() {
        store.put("op/config", "2");
        store.put("servers/a", "x");
        clock.advance(Duration.ofMillis(100));
        store.delete("servers/a");
        clock.advance(Duration.ofMillis(100));

        assertThat(seen).containsExactly(Map.entry("op/config", "2"));
    }

    @Test
    void shouldListAgainWhenHistoryIsGone() {
        store.put("servers/a", "x");
        clock.advance(Duration.ofMillis(100));
        store.compact();
        store.delete("servers/a");
        store.put("op/config", "3");
        clock.advance(Duration.ofMillis(200));

        assertThat(seen).containsExactly(Map.entry("op/config", "3"));
    }

    @Test
    void shouldCatchUpWhenWatchWentSilent() {
        view.setReachable(false);
        store.put("op/config", "4");
        clock.advance(Duration.ofSeconds(5));
        assertThat(seen).containsEntry("op/config", "1");

        view.setReachable(true);
        clock.advance(Duration.ofSeconds(1));

        assertThat(seen).containsEntry("op/config", "4");
        assertThat(regained).isEqualTo(2);
    }

    @Test
    void shouldCallRarelyWhenNothingChanges() {
        int before = view.callCount();
        clock.advance(Duration.ofSeconds(60));

        assertThat(view.callCount() - before).isLessThanOrEqualTo(16);
    }

    private void changed(StoreEntry item) {
        item.value().ifPresentOrElse(v -> seen.put(item.key(), v), () -> seen.remove(item.key()));
    }
}
