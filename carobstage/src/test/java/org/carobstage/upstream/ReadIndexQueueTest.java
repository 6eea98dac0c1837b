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
    private final ReadIndexQueue proofs = ReadIndexQueue.empty();
    private final List<LogPosition> proven = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();

    @Test
    void shouldServeAllWhoWaitedWithOneQuestion() {
        wish(0);
        wish(1);
        assertThat(proofs.completeReady(Optional.empty(), millis(1), false)).isPresent();
        wish(1);
        assertThat(proofs.completeReady(Optional.empty(), millis(1), false)).isEmpty();

        proofs.completeReady(evidence(2), millis(4), true);

        assertThat(proven).hasSize(3);
    }

    @Test
    void shouldAskAgainForThoseWhoCameAfterTheQuestion() {
        wish(0);
        proofs.completeReady(Optional.empty(), millis(0), false);
        wish(3);

        assertThat(proofs.completeReady(evidence(1), millis(4), true)).isPresent();
        assertThat(proven).hasSize(1);
    }

    @Test
    void shouldNotTrustEvidenceWhenTimeOfDayWasSteppedBack() {
        wish(5);
        ClockReading stepped = new ClockReading(millis(6), millis(-1_000));
        ObservedPosition evidence = new ObservedPosition(LogPosition.of(1, 1), stepped);

        proofs.completeReady(Optional.of(evidence), millis(7), false);

        assertThat(proven).isEmpty();
    }

    @Test
    void shouldRefuseAllWhenNoPrimaryCanAnswer() {
        wish(0);
        proofs.completeReady(Optional.empty(), millis(0), false);
        proofs.failAll("no primary");

        assertThat(refused).containsExactly("no primary");
    }

    private void wish(long since) {
        proofs.add(at(since), millis(800), proven::add, refused::add);
    }

    private static Optional<ObservedPosition> evidence(long asked) {
        return Optional.of(new ObservedPosition(LogPosition.of(1, 7), at(asked)));
    }

    private static ClockReading at(long millis) {
        return new ClockReading(millis(millis), millis(millis));
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
