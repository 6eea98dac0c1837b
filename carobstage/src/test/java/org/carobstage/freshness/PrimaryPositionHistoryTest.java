package org.carobstage.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.LogPosition;
import org.junit.jupiter.api.Test;

class PrimaryPositionHistoryTest {
    private static final Duration MAX_STALENESS = Duration.ofMillis(1_500);

    private final PrimaryPositionHistory history = PrimaryPositionHistory.empty();

    @Test
    void shouldReturnOldestPositionWithinBound() {
        history.add(LogPosition.of(1, 5), at(0), at(2));
        history.add(LogPosition.of(1, 9), at(400), at(402));
        history.add(LogPosition.of(1, 20), at(1_900), at(1_902));
        confirm(LogPosition.of(1, 20), 1_900);

        assertThat(history.oldestWithin(MAX_STALENESS, at(1_800)).map(ObservedPosition::position))
                .contains(LogPosition.of(1, 9));
    }

    @Test
    void shouldReturnEmptyWhenAllPositionsAreTooOld() {
        addConfirmed();

        assertThat(history.oldestWithin(MAX_STALENESS, at(1_490))).isEmpty();
    }

    @Test
    void shouldMeasureAgeFromRequestWhenResponseIsLate() {
        history.add(LogPosition.of(1, 5), at(0), at(1_400));
        confirm(LogPosition.of(1, 5), 0);

        assertThat(history.oldestWithin(MAX_STALENESS, at(1_490))).isEmpty();
    }

    @Test
    void shouldIncludeSuspensionInAgeWhenOnlyTimeOfDayAdvanced() {
        addConfirmed();

        ClockReading afterSuspension = new ClockReading(millis(100), millis(5_100));

        assertThat(history.oldestWithin(MAX_STALENESS, afterSuspension)).isEmpty();
    }

    @Test
    void shouldUseMonotonicAgeWhenTimeOfDayIsSteppedBack() {
        addConfirmed();

        ClockReading steppedBack = new ClockReading(millis(1_600), millis(-3_000));

        assertThat(history.oldestWithin(MAX_STALENESS, steppedBack)).isEmpty();
    }

    @Test
    void shouldIgnorePositionUntilQuorumConfirmsIt() {
        history.add(LogPosition.of(1, 5), at(0), at(2));
        assertThat(history.oldestWithin(MAX_STALENESS, at(100))).isEmpty();

        confirm(LogPosition.of(1, 7), 60);

        assertThat(history.oldestWithin(MAX_STALENESS, at(100)).map(ObservedPosition::position))
                .contains(LogPosition.of(1, 5));
    }

    @Test
    void shouldDiscardPositionOfReplacedPrimary() {
        history.add(LogPosition.of(1, 81), at(100), at(102));
        confirm(LogPosition.of(2, 76), 200);

        assertThat(history.oldestWithin(MAX_STALENESS, at(300)).map(ObservedPosition::position))
                .contains(LogPosition.of(2, 76));
    }

    @Test
    void shouldNotConfirmPositionRequestedAfterTheEvidence() {
        history.add(LogPosition.of(1, 81), at(300), at(302));
        confirm(LogPosition.of(1, 60), 200);

        assertThat(history.oldestWithin(Duration.ofMillis(150), at(400))).isEmpty();
    }

    private void addConfirmed() {
        history.add(LogPosition.of(1, 5), at(0), at(2));
        confirm(LogPosition.of(1, 5), 0);
    }

    private void confirm(LogPosition position, long requestedMillis) {
        history.confirm(
                new ObservedPosition(position, at(requestedMillis)), at(requestedMillis + 2));
    }

    private static ClockReading at(long millis) {
        return new ClockReading(millis(millis), millis(millis));
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
