package org.carobstage.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.LogPosition;
import org.junit.jupiter.api.Test;

class AcknowledgedFloorTest {
    private final AcknowledgedFloor floor = AcknowledgedFloor.atStart(at(0));

    @Test
    void shouldContradictWhenEvidenceWasRequestedAfterCommit() {
        floor.raise(LogPosition.of(1, 85), at(10));

        assertThat(floor.contradictedBy(evidence(80, 11))).contains(LogPosition.of(1, 85));
        assertThat(floor.contradictedBy(evidence(85, 11))).isEmpty();
    }

    // Evidence requested before a commit was acknowledged does not have to cover it.
    @Test
    void shouldNotContradictWhenEvidenceWasRequestedBeforeCommit() {
        floor.raise(LogPosition.of(1, 85), at(10));

        assertThat(floor.contradictedBy(evidence(80, 9))).isEmpty();
    }

    // While commits continue, the newest one is always later than the request of the evidence.
    @Test
    void shouldContradictEarlierPositionWhenCommitsContinue() {
        boolean contradicted = false;
        for (int i = 0; i < 100; i++) {
            floor.raise(LogPosition.of(1, 80 + i), at(10 * i));
            ObservedPosition evidence = evidence(80, 10 * i - 25);
            contradicted |= floor.contradictedBy(evidence).isPresent();
            floor.onChecked(evidence);
        }

        assertThat(contradicted).isTrue();
    }

    private static ObservedPosition evidence(long offset, long requestedMillis) {
        return new ObservedPosition(LogPosition.of(1, offset), at(requestedMillis));
    }

    private static ClockReading at(long millis) {
        long nanos = TimeUnit.MILLISECONDS.toNanos(millis);
        return new ClockReading(nanos, nanos);
    }
}
