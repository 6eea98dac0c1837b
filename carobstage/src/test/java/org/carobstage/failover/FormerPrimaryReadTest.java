package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.fake.FakeInstance;
import org.carobstage.model.LogPosition;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against stale reads at a former primary that continues to serve some processes although
 * the platform enforces fencing.
 */
class FormerPrimaryReadTest {
    private final FailoverFixture fixture = new FailoverFixture(true);
    private final FailoverFixture.Process reader = fixture.processes.get(0);
    private final List<String> stale = new ArrayList<>();
    private LogPosition acknowledged = LogPosition.empty();
    private int confirmedCount;
    private int elapsedMillis;

    @BeforeEach
    void keepFormerPrimary() {
        fixture.service.keepFormerPrimary(true);
        fixture.instance("a").ignoreStepDown();
        advanceInUse(2_000);
        assertThat(confirmedCount).isGreaterThan(50);
    }

    // The votes and the promotion of the others are in the store.
    @Test
    void shouldNotReadAtFormerPrimaryWhenOthersReplacedIt() {
        fixture.cutOffPrimary(1, 2);
        advanceInUse(8_000);

        assertThat(acknowledged.term().number()).isEqualTo(2);
        assertThat(stale).isEmpty();
    }

    // The process learns of no vote and of no promotion.
    @Test
    void shouldNotReadAtFormerPrimaryWhenStoreIsOutOfReach() {
        reader.storeClient.setReachable(false);
        fixture.cutOffPrimary(1, 2);
        advanceInUse(8_000);

        assertThat(acknowledged.term().number()).isEqualTo(2);
        assertThat(stale).isEmpty();
    }

    // The changes of the store arrive after the first read.
    @Test
    void shouldNotReadAtFormerPrimaryWhenProcessWasSuspended() {
        fixture.cutOffPrimary(1, 2);
        reader.suspend(Duration.ofSeconds(5), true);
        advanceInUse(8_000);

        assertThat(acknowledged.term().number()).isEqualTo(2);
        assertThat(stale).isEmpty();
    }

    // The watch is paced, and the first change arrives with a delay.
    @Test
    void shouldNotReadAtFormerPrimaryWhenStoreChangesOften() {
        for (int i = 0; i < 40; i++) {
            fixture.store.put("carobstage/members/vm-" + i, "run");
            advanceInUse(40);
        }
        fixture.cutOffPrimary(1, 2);
        for (int i = 0; i < 120; i++) {
            fixture.store.put("carobstage/members/vm-" + i, "run");
            advanceInUse(60);
        }

        assertThat(acknowledged.term().number()).isEqualTo(2);
        assertThat(stale).isEmpty();
    }

    // The others have begun to replace the primary, which may succeed at any moment.
    @Test
    void shouldQueryReplicasWhileVoteIsStored() {
        fixture.store.put("carobstage/votes/forms/vm-9", "a - -");
        int before = replicaQueryCount();
        advanceInUse(1_000);

        assertThat(replicaQueryCount() - before).isGreaterThan(20);
    }

    // A planned failover has no votes.
    @Test
    void shouldQueryReplicasWhilePromotionIsStored() {
        fixture.store.put("carobstage/promotions/forms", "b 7");
        int before = replicaQueryCount();
        advanceInUse(1_000);

        assertThat(replicaQueryCount() - before).isGreaterThan(20);
    }

    // One query for each read would cost more than the former primary is worth.
    @Test
    void shouldQueryOnlyPrimaryWhileNothingIndicatesReplacement() {
        int before = replicaQueryCount();
        advanceInUse(2_000);

        assertThat(replicaQueryCount() - before).isLessThan(10);
    }

    // A failover that is abandoned, such as that of a primary which responds again.
    @Test
    void shouldQueryOnlyPrimaryAgainWhenVotesAreWithdrawn() {
        fixture.cutOffPrimary(1);
        advanceInUse(4_000);
        fixture.processes.get(1).unreachable.clear();
        advanceInUse(6_000);
        int before = replicaQueryCount();
        advanceInUse(2_000);

        assertThat(replicaQueryCount() - before).isLessThan(10);
    }

    private int replicaQueryCount() {
        return fixture.instance("b").statusQueryCount() + fixture.instance("c").statusQueryCount();
    }

    /** Advances while one process requests positions for reads and the others write. */
    private void advanceInUse(int millis) {
        for (int elapsed = 0; elapsed < millis; elapsed += 20) {
            List.of(1, 2)
                    .forEach(
                            i ->
                                    fixture.processes
                                            .get(i)
                                            .write(() -> acknowledged = newestReceived()));
            requestReadIndex();
            fixture.advanceMillis(20);
            elapsedMillis += 20;
            if (elapsedMillis % 1_000 == 0) {
                fixture.processes.forEach(FailoverFixture.Process::renewMembership);
            }
        }
    }

    private void requestReadIndex() {
        LogPosition required = acknowledged;
        reader.requestReadIndex(
                position -> {
                    confirmedCount++;
                    if (!position.isAtLeast(required)) {
                        stale.add(position + " lacks " + required);
                    }
                });
    }

    private LogPosition newestReceived() {
        return fixture.service.instances().stream()
                .map(FakeInstance::receivedPosition)
                .reduce(LogPosition.empty(), LogPosition::max);
    }
}
