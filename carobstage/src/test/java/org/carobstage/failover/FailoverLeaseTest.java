package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.fake.FakeService;
import org.carobstage.fake.MessageFilter;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreRevision;
import org.junit.jupiter.api.Test;

class FailoverLeaseTest {
    private static final VmId VM = VmId.of("vm-0");

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeMetadataStore store = FakeMetadataStore.of(clock);
    private final FailoverLease lease =
            new FailoverLease(
                    new FailoverContext(
                            VM,
                            clock,
                            store.client(),
                            FakeService.of(clock).promotionClient(MessageFilter.NONE),
                            EventLog.of(VM, clock, 10),
                            true),
                    FakeService.NAME);

    // With a late watch, votes withdrawn after an earlier lease of this process would still count.
    @Test
    void shouldNotTakeEntryOfEarlierLeaseForItsOwn() {
        StoreRevision first = acquire();
        lease.release(false);
        clock.advance(Duration.ofMillis(100));
        StoreRevision second = acquire();

        assertThat(lease.isHeldAs(Optional.of(entry(first)))).isFalse();
        assertThat(lease.isHeldAs(Optional.of(entry(second)))).isTrue();
        assertThat(lease.isHeldAs(Optional.empty())).isFalse();
    }

    private StoreRevision acquire() {
        lease.acquire(() -> {}, () -> {});
        clock.advance(Duration.ofMillis(100));
        assertThat(lease.isHeld()).isTrue();
        long era = lease.fencingToken() >> 40;
        return new StoreRevision(era, lease.fencingToken() - (era << 40));
    }

    private static StoreEntry entry(StoreRevision revision) {
        return new StoreEntry(
                FailoverKeys.lease(FakeService.NAME), Optional.of(VM.value()), revision);
    }
}
