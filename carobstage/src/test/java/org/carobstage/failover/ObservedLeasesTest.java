package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.fake.FakeService;
import org.carobstage.fake.MessageFilter;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.junit.jupiter.api.Test;

class ObservedLeasesTest {
    private static final VmId VM = VmId.of("vm-0");
    private static final String KEY = FailoverKeys.lease(FakeService.NAME);
    private static final int TICK_MILLIS = 50;

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeMetadataStore store = FakeMetadataStore.of(clock);
    private final FailoverContext context =
            new FailoverContext(
                    VM,
                    clock,
                    store.client(),
                    FakeService.of(clock).promotionClient(MessageFilter.NONE),
                    EventLog.of(VM, clock, 10),
                    true);
    private final FailoverLease own = new FailoverLease(context, FakeService.NAME);
    private final ObservedLeases leases = new ObservedLeases(context);

    // A key that names this process and run, but was written after it gave up, never expires.
    @Test
    void shouldDeleteKeyWhenItNamesThisRunThatDoesNotHoldTheLease() {
        observe(new LeaseHolder(VM, ownRun(), 1).format());
        tick(FailoverLease.TTL.toMillis() - TICK_MILLIS);
        assertThat(store.get(KEY)).isPresent();
        tick(500);

        assertThat(store.get(KEY)).isEmpty();
    }

    // An earlier run of this VM or a previous build may hold the lease and be about to promote.
    @Test
    void shouldKeepKeyWhenItNamesAnotherRunOrOnlyTheVm() {
        for (String value : List.of(VM + " 17 1", "vm-1 " + ownRun() + " 1", VM.value())) {
            observe(value);
            tick(20_000);

            assertThat(store.get(KEY)).contains(value);
        }
    }

    // The holder of a lease would lose its key and another process would become holder as well.
    @Test
    void shouldKeepKeyOfLeaseThatIsHeld() {
        own.acquire(() -> {}, () -> {});
        clock.advance(Duration.ofMillis(20));
        leases.put(FakeService.NAME, storedEntry());
        tick(20_000);

        assertThat(store.get(KEY)).isPresent();
    }

    // In an era not seen here yet, the key of a holder may have the same revision number.
    @Test
    void shouldKeepKeyOfAnotherHolderWhenStoreWasRestoredUnnoticed() {
        store.copy();
        observe(new LeaseHolder(VM, ownRun(), 1).format());
        tick(FailoverLease.TTL.toMillis() - TICK_MILLIS);
        store.restore();
        String holder = new LeaseHolder(VmId.of("vm-1"), "5", 2).format();
        store.put(KEY, holder);
        tick(500);

        assertThat(store.get(KEY)).contains(holder);
    }

    private static String ownRun() {
        return Long.toString(Instant.EPOCH.toEpochMilli());
    }

    private void observe(String value) {
        store.put(KEY, value);
        leases.put(FakeService.NAME, storedEntry());
    }

    /** Returns the stored entry, as a list of all keys returns it. */
    private StoreEntry storedEntry() {
        StoreEntry[] found = new StoreEntry[1];
        context.store()
                .list(
                        Optional.empty(),
                        response ->
                                found[0] =
                                        ((StoreResponse.Success<MetadataStore.Page>) response)
                                                .value().entries().stream()
                                                        .filter(e -> e.key().equals(KEY))
                                                        .findFirst()
                                                        .orElseThrow());
        clock.advance(Duration.ofMillis(10));
        return found[0];
    }

    private void tick(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += TICK_MILLIS) {
            leases.deleteVoid(FakeService.NAME, own, Duration.ZERO);
            clock.advance(Duration.ofMillis(TICK_MILLIS));
        }
    }
}
