package org.carobstage.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.freshness.ClockReading;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Test;

/** Guards against a process that relies on changes of the store which it does not know yet. */
class ObservedStoreTest {
    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeMetadataStore.Client client = FakeMetadataStore.of(clock).client();
    private final ObservedStore store = ObservedStore.of(client, clock);

    @Test
    void shouldHaveObservedNothingBeforeFirstWatch() {
        grantLease();

        assertThat(store.observedAt()).isEmpty();
    }

    @Test
    void shouldObserveUntilRequestOfLastCallWhileWatchIsInProgress() {
        watch();
        advanceMillis(100);
        ClockReading requestedAt = ClockReading.now(clock);
        grantLease();

        assertThat(store.observedAt()).contains(requestedAt);
    }

    @Test
    void shouldObserveUntilEndOfWatchWhenNextOneHasNotStarted() {
        grantLease();
        watch();
        advanceMillis(2_000);
        ClockReading endedAt = ClockReading.now(clock);
        advanceMillis(500);
        grantLease();

        assertThat(store.observedAt()).isPresent();
        assertThat(store.observedAt().get().age(ClockReading.now(clock)))
                .isGreaterThan(Duration.ofMillis(500));
        assertThat(store.observedAt().get().monotonicNanos())
                .isLessThanOrEqualTo(endedAt.monotonicNanos());
    }

    @Test
    void shouldObserveNothingNewWhenStoreDoesNotAnswer() {
        watch();
        advanceMillis(2_000);
        watch();
        grantLease();
        ClockReading before = store.observedAt().orElseThrow();
        client.setReachable(false);
        grantLease();
        assertThat(store.observedAt()).contains(before);
        advanceMillis(3_000);

        assertThat(store.observedAt().filter(before::isSince)).isPresent();
    }

    private void watch() {
        store.watch(StoreRevision.NONE, Duration.ofMillis(1_500), response -> {});
    }

    private void grantLease() {
        store.grantLease(Duration.ofSeconds(3), response -> {});
        advanceMillis(50);
    }

    private void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }
}
