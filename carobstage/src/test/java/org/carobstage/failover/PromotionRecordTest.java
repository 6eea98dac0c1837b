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
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a request of another holder that is replaced without being known. */
class PromotionRecordTest {
    private static final String KEY = "carobstage/promotions/forms";
    private static final InstanceId TARGET = InstanceId.of("b");

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeMetadataStore store = FakeMetadataStore.of(clock);
    private final FakeMetadataStore.Client client = store.client();
    private final FailoverContext context =
            new FailoverContext(
                    VmId.of("vm-0"),
                    clock,
                    client,
                    FakeService.of(clock).promotionClient(MessageFilter.NONE),
                    EventLog.of(VmId.of("vm-0"), clock, 10),
                    false);
    private final FailoverLease lease = new FailoverLease(context, FakeService.NAME);
    private final PromotionRecord record = new PromotionRecord(context, FakeService.NAME);
    private final List<StoreResponse<PromotionPermit>> responses = new ArrayList<>();

    @BeforeEach
    void acquireLease() {
        lease.acquire(() -> {}, () -> {});
        clock.advance(Duration.ofMillis(100));
        assertThat(lease.isHeld()).isTrue();
    }

    // The watch has not delivered the record of the earlier holder when the next one writes.
    @Test
    void shouldNotReplaceRecordThatIsNotKnown() {
        store.put(KEY, "c 7 unanswered");
        write();

        assertThat(responses.get(0)).isInstanceOf(StoreResponse.Mismatch.class);
        assertThat(store.get(KEY)).contains("c 7 unanswered");
        assertThat(record.pending()).map(PendingPromotion::target).contains(InstanceId.of("c"));
    }

    // A record whose write had no answer is that of this holder, and must not end its failover.
    @Test
    void shouldWriteAgainWhenEarlierWriteOfThisHolderHadNoAnswer() {
        client.setMessageFilter(m -> m.startsWith("WRITE") ? Fate.ANSWER_LOST : Fate.DELIVERED);
        write();
        client.setMessageFilter(MessageFilter.NONE);
        write();

        assertThat(responses.get(0)).isInstanceOf(StoreResponse.NoAnswer.class);
        assertThat(responses.get(1)).isInstanceOf(StoreResponse.Success.class);
    }

    @Test
    void shouldNotWriteWhenStoreHasEndedLease() {
        store.endLeaseOf("carobstage/failover/forms");
        write();

        assertThat(responses.get(0)).isInstanceOf(StoreResponse.Mismatch.class);
        assertThat(store.get(KEY)).isEmpty();
    }

    // The copy of a restored store may hold the record of an earlier request.
    @Test
    void shouldKeepPendingRequestWhenRestoredStoreHoldsOlderRecord() {
        record.onStoreChange(entry("c 9 unanswered", new StoreRevision(1, 50)));
        record.onStoreChange(entry("b 7", new StoreRevision(2, 20)));

        assertThat(record.pending()).map(PendingPromotion::target).contains(InstanceId.of("c"));

        record.onStoreChange(entry("b 11", new StoreRevision(2, 60)));

        assertThat(record.pending()).map(PendingPromotion::target).contains(TARGET);
    }

    @Test
    void shouldIgnoreRecordWithoutTarget() {
        record.onStoreChange(entry(" 7 unanswered", new StoreRevision(1, 50)));

        assertThat(record.pending()).isEmpty();
    }

    private void write() {
        record.write(lease, TARGET, false, responses::add);
        clock.advance(Duration.ofMillis(1_000));
    }

    private static StoreEntry entry(String value, StoreRevision revision) {
        return new StoreEntry(KEY, Optional.of(value), revision);
    }
}
