package org.carobstage.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a former primary whose report is taken as proof. */
class LeadershipProofTest {
    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final LeadershipProof proof = LeadershipProof.of(clock, true);
    private Optional<ObservedPosition> confirmed = Optional.empty();

    @BeforeEach
    void observeAndConfirm() {
        observeStore();
        confirm();
    }

    @Test
    void shouldHoldWhenQuorumHasConfirmed() {
        assertThat(holds()).isTrue();
    }

    @Test
    void shouldNotHoldBeforeQuorumHasConfirmed() {
        confirmed = Optional.empty();

        assertThat(holds()).isFalse();
    }

    @Test
    void shouldNeverHoldWhenFencingIsNotEnforced() {
        LeadershipProof unfenced = LeadershipProof.of(clock, false);
        unfenced.setStoreObservedAt(ClockReading.now(clock));

        assertThat(unfenced.holds(confirmed)).isFalse();
    }

    @Test
    void shouldNotHoldWhileReplacementIsIndicated() {
        proof.setReplacementIndicated(true);
        confirm();

        assertThat(holds()).isFalse();
    }

    // The replacement may have succeeded before its indication ended.
    @Test
    void shouldNotHoldAfterIndicationUntilQuorumConfirmsAgain() {
        proof.setReplacementIndicated(true);
        advanceMillis(100);
        confirm();
        advanceMillis(100);
        proof.setReplacementIndicated(false);
        observeStore();

        assertThat(holds()).isFalse();
        advanceMillis(1);
        confirm();
        assertThat(holds()).isTrue();
    }

    @Test
    void shouldNotHoldWhenStoreWasNotObservedRecently() {
        advanceMillis(1_501);
        confirm();

        assertThat(holds()).isFalse();
    }

    // Votes and promotions may have come and gone while the store was out of reach.
    @Test
    void shouldNotHoldWhenStoreIsObservedAgainUntilQuorumConfirmsAgain() {
        advanceMillis(1_501);
        observeStore();

        assertThat(holds()).isFalse();
        confirm();
        assertThat(holds()).isTrue();
    }

    @Test
    void shouldNotHoldForNextLeaderUntilQuorumConfirms() {
        proof.setLeader(InstanceId.of("a"), Term.of(1));
        advanceMillis(1);
        assertThat(holds()).isTrue();
        proof.setLeader(InstanceId.of("b"), Term.of(2));

        assertThat(holds()).isFalse();
    }

    private boolean holds() {
        return proof.holds(confirmed);
    }

    private void observeStore() {
        proof.setStoreObservedAt(ClockReading.now(clock));
    }

    private void confirm() {
        confirmed =
                Optional.of(new ObservedPosition(LogPosition.of(1, 7), ClockReading.now(clock)));
    }

    private void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }
}
