package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.fake.FakeService;
import org.carobstage.fake.MessageFilter;
import org.carobstage.fake.MessageFilter.Fate;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.junit.jupiter.api.Test;

class FailoverLeaseTest {
    private static final VmId VM = VmId.of("vm-0");

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeMetadataStore store = FakeMetadataStore.of(clock);
    private final FakeMetadataStore.Client client = store.client();
    private final FakeMetadataStore.Client otherClient = store.client();
    private final FailoverLease lease =
            new FailoverLease(
                    new FailoverContext(
                            VM,
                            clock,
                            client,
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

    // The store may end a lease before it expires, and another process acquire it.
    @Test
    void shouldNotHoldLeaseWhenItsKeyIsGone() {
        StoreRevision acquired = acquire();
        lease.onStoreChange(entry(acquired));
        assertThat(lease.isHeld()).isTrue();

        StoreRevision deleted = new StoreRevision(acquired.era(), acquired.number() + 1);
        lease.onStoreChange(new StoreEntry(entry(acquired).key(), Optional.empty(), deleted));

        assertThat(lease.isHeld()).isFalse();
    }

    // The id may be the lease of another process's membership, in an era not seen here yet.
    @Test
    void shouldNotRevokeLeaseWhenItsWriteHadNoAnswer() {
        store.copy();
        client.setMessageFilter(m -> m.startsWith("WRITE") ? Fate.LOST : Fate.DELIVERED);
        lease.acquire(() -> {}, () -> {});
        clock.advance(Duration.ofMillis(100));
        store.restore();
        LeaseId membership = grantMembership();
        clock.advance(Duration.ofMillis(1_000));

        assertThat(isGranted(membership)).isTrue();
    }

    // The same, for a holder that could not renew its lease before the failover ended.
    @Test
    void shouldNotRevokeLeaseThatIsNoLongerHeld() {
        store.copy();
        acquire();
        client.setReachable(false);
        clock.advance(Duration.ofMillis(3_500));
        store.restore();
        LeaseId membership = grantMembership();
        client.setReachable(true);
        lease.release(false);
        clock.advance(Duration.ofMillis(100));

        assertThat(isGranted(membership)).isTrue();
    }

    private LeaseId grantMembership() {
        List<LeaseId> granted = new ArrayList<>();
        otherClient.grantLease(
                Duration.ofSeconds(10),
                response -> granted.add(((StoreResponse.Success<LeaseId>) response).value()));
        clock.advance(Duration.ofMillis(10));
        return granted.get(0);
    }

    private boolean isGranted(LeaseId id) {
        List<Boolean> renewed = new ArrayList<>();
        otherClient.renewLease(
                id, response -> renewed.add(response instanceof StoreResponse.Success<LeaseId>));
        clock.advance(Duration.ofMillis(10));
        return renewed.get(0);
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
