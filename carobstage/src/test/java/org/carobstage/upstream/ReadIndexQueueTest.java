package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.carobstage.freshness.ClockReading;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.LogPosition;
import org.junit.jupiter.api.Test;

class ReadIndexQueueTest {
    private final ReadIndexQueue queue = ReadIndexQueue.empty();
    private final List<LogPosition> positions = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();

    @Test
    void shouldCompleteOnlyReadsThatArrivedBeforeTheRequest() {
        addRead(0);
        addRead(1);
        addRead(3);

        queue.completeReady(observedAt(2), millis(4));

        assertThat(positions).hasSize(2);
        assertThat(queue.hasWaiting()).isTrue();
    }

    @Test
    void shouldNotAcceptPositionWhenTimeOfDayWasSteppedBack() {
        addRead(5);
        ClockReading stepped = new ClockReading(millis(6), millis(-1_000));
        ObservedPosition observed = new ObservedPosition(LogPosition.of(1, 1), stepped);

        queue.completeReady(Optional.of(observed), millis(7));

        assertThat(positions).isEmpty();
    }

    @Test
    void shouldRefuseAllReadsWhenNoPositionCanBeConfirmed() {
        addRead(0);
        queue.completeReady(Optional.empty(), millis(0));
        queue.failAll("no quorum");

        assertThat(refused).containsExactly("no quorum");
        assertThat(queue.hasWaiting()).isFalse();
    }

    private void addRead(long since) {
        queue.add(at(since), millis(800), p -> positions.add(p.position()), refused::add);
    }

    private static Optional<ObservedPosition> observedAt(long requestedMillis) {
        return Optional.of(new ObservedPosition(LogPosition.of(1, 7), at(requestedMillis)));
    }

    private static ClockReading at(long millis) {
        return new ClockReading(millis(millis), millis(millis));
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
