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
    void shouldCompleteAllWaitingReadsWithOneRequest() {
        addRead(0);
        addRead(1);
        assertThat(queue.completeReady(Optional.empty(), millis(1), false)).isPresent();
        addRead(1);
        assertThat(queue.completeReady(Optional.empty(), millis(1), false)).isEmpty();

        queue.completeReady(observedAt(2), millis(4), true);

        assertThat(positions).hasSize(3);
    }

    @Test
    void shouldRequestAgainForReadsThatArrivedAfterTheRequest() {
        addRead(0);
        queue.completeReady(Optional.empty(), millis(0), false);
        addRead(3);

        assertThat(queue.completeReady(observedAt(1), millis(4), true)).isPresent();
        assertThat(positions).hasSize(1);
    }

    @Test
    void shouldNotAcceptPositionWhenTimeOfDayWasSteppedBack() {
        addRead(5);
        ClockReading stepped = new ClockReading(millis(6), millis(-1_000));
        ObservedPosition observed = new ObservedPosition(LogPosition.of(1, 1), stepped);

        queue.completeReady(Optional.of(observed), millis(7), false);

        assertThat(positions).isEmpty();
    }

    @Test
    void shouldRefuseAllReadsWhenNoPrimaryResponds() {
        addRead(0);
        queue.completeReady(Optional.empty(), millis(0), false);
        queue.failAll("no primary");

        assertThat(refused).containsExactly("no primary");
    }

    private void addRead(long since) {
        queue.add(at(since), millis(800), positions::add, refused::add);
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
