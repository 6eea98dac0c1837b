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

        assertThat(history.oldestWithin(MAX_STALENESS, at(1_800)).map(ObservedPosition::position))
                .contains(LogPosition.of(1, 9));
    }

    @Test
    void shouldReturnEmptyWhenAllPositionsAreTooOld() {
        history.add(LogPosition.of(1, 5), at(0), at(2));

        assertThat(history.oldestWithin(MAX_STALENESS, at(1_490))).isEmpty();
    }

    @Test
    void shouldMeasureAgeFromRequestWhenResponseIsLate() {
        history.add(LogPosition.of(1, 5), at(0), at(1_400));

        assertThat(history.oldestWithin(MAX_STALENESS, at(1_490))).isEmpty();
    }

    @Test
    void shouldIncludeSuspensionInAgeWhenOnlyTimeOfDayAdvanced() {
        history.add(LogPosition.of(1, 5), at(0), at(2));

        ClockReading afterSuspension = new ClockReading(millis(100), millis(5_100));

        assertThat(history.oldestWithin(MAX_STALENESS, afterSuspension)).isEmpty();
    }

    @Test
    void shouldUseMonotonicAgeWhenTimeOfDayIsSteppedBack() {
        history.add(LogPosition.of(1, 5), at(0), at(2));

        ClockReading steppedBack = new ClockReading(millis(1_600), millis(-3_000));

        assertThat(history.oldestWithin(MAX_STALENESS, steppedBack)).isEmpty();
    }

    private static ClockReading at(long millis) {
        return new ClockReading(millis(millis), millis(millis));
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
