package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.MessageFilter.Fate;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.junit.jupiter.api.Test;

/**
 * Guards against failovers that rest on what a store has lost: it was restored from a copy, so that
 * leases, votes and recorded requests are gone or back, and revisions are assigned again.
 */
class FailoverAfterRestoreTest {
    private final FailoverFixture fixture = new FailoverFixture();

    @Test
    void shouldIncreaseFencingTokenWhenStoreWasRestored() {
        fixture.store.copy();
        fixture.instance("a").stopResponding();
        fixture.advanceMillis(4_000);
        FakeInstance secondPrimary = fixture.service.primary().orElseThrow();
        fixture.instance("a").recover();
        fixture.advanceMillis(4_000);
        fixture.store.restore();
        fixture.advanceSecondsInUse(4);
        secondPrimary.stopResponding();
        fixture.advanceSecondsInUse(10);

        List<Long> fencingTokens =
                fixture.service.receivedPromotionRequests().stream()
                        .map(r -> Long.parseLong(r.split(" ")[1]))
                        .toList();
        assertThat(fencingTokens).hasSizeGreaterThan(1).isSorted().doesNotHaveDuplicates();
    }

    @Test
    void shouldNotRequestPromotionUnderLeaseThatRestoredStoreHasLost() {
        FailoverFixture fenced = new FailoverFixture(true);
        fenced.store.copy();
        fenced.instance("a").stopResponding();
        while (fenced.store.get("carobstage/failover/forms").isEmpty()) {
            fenced.advanceMillis(1);
        }
        fenced.store.restore();
        fenced.advanceMillis(3_000);
        assertThat(fenced.service.receivedPromotionRequests()).isEmpty();

        fenced.advanceMillis(6_000);

        assertThat(fenced.service.receivedPromotionRequests()).hasSize(1);
    }

    @Test
    void shouldCastVoteAgainWhenRestoredStoreHasLostIt() {
        fixture.store.copy();
        fixture.processes.get(0).unreachable.add(InstanceId.of("a"));
        fixture.advanceMillis(2_000);
        assertThat(fixture.storedVotes()).hasSize(1);
        fixture.store.restore();
        fixture.advanceMillis(1_000);

        assertThat(fixture.storedVotes()).hasSize(1);
    }

    @Test
    void shouldWithdrawVoteAgainWhenRestoredStoreBringsItBack() {
        fixture.processes.get(0).unreachable.add(InstanceId.of("a"));
        fixture.advanceMillis(2_000);
        fixture.store.copy();
        fixture.processes.get(0).unreachable.clear();
        fixture.advanceMillis(2_000);
        assertThat(fixture.storedVotes()).isEmpty();
        fixture.store.restore();
        fixture.advanceMillis(2_000);

        assertThat(fixture.storedVotes()).isEmpty();
    }

    @Test
    void shouldNotTrustVotesAloneAfterStoreWasRestored() {
        fixture.advanceSecondsInUse(16);
        fixture.store.copy();
        fixture.store.restore();
        fixture.advanceMillis(100);
        fixture.instance("c").crash();
        fixture.instance("a").crash();
        fixture.advanceMillis(8_000);

        assertThat(fixture.service.receivedPromotionRequests()).isEmpty();
    }

    // The key of a lease whose id was given out again never expires, and every vote is kept.
    @Test
    void shouldResumeWritesWhenLeaseIsWrittenLateUnderIdThatWasGivenOutAgain() {
        fixture.store.copy();
        List<String> late = new ArrayList<>();
        fixture.filter =
                message -> {
                    boolean first =
                            late.isEmpty() && message.endsWith("WRITE carobstage/failover/forms");
                    if (first) {
                        late.add(message);
                    }
                    return first ? Fate.late(Duration.ofSeconds(2)) : Fate.DELIVERED;
                };
        fixture.instance("a").stopResponding();
        while (late.isEmpty()) {
            fixture.advanceWriting(50);
        }
        fixture.store.restore();
        fixture.instance("a").recover();
        fixture.advanceWriting(3_000);
        assertThat(fixture.store.get("carobstage/failover/forms")).isPresent();
        fixture.advanceWriting(10_000);

        assertThat(fixture.store.get("carobstage/failover/forms")).isEmpty();
        assertThat(fixture.storedVotes()).isEmpty();
        assertThat(fixture.processes)
                .allMatch(p -> p.group.tryAcquireWritePermission(InstanceId.of("a")));
    }

    @Test
    void shouldRememberPendingRequestThatRestoredStoreHasLost() {
        fixture.store.copy();
        fixture.store.put("carobstage/promotions/forms", "c");
        fixture.advanceMillis(100);
        fixture.store.restore();
        fixture.instance("b").receive(LogPosition.of(1, 9));
        fixture.instance("a").stopResponding();
        fixture.advanceMillis(10_000);

        assertThat(fixture.service.receivedPromotionRequests()).isEmpty();
    }
}
