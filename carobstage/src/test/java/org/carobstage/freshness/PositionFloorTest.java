package org.carobstage.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.junit.jupiter.api.Test;

class PositionFloorTest {
    private final PositionFloor floor = PositionFloor.none();

    // Guards against reads at a position that lacks a commit which is known to be acknowledged.
    @Test
    void shouldNotPermitLowerPositionThatWasRequestedLater() {
        floor.raise(LogPosition.of(1, 81), at(10));

        assertThat(floor.permits(observed(1, 80, 10))).isFalse();
        assertThat(floor.permits(observed(1, 81, 10))).isTrue();
        assertThat(floor.permits(observed(2, 70, 10))).isTrue();
    }

    // Guards against a rejection of positions that cover all commits up to their own time.
    @Test
    void shouldPermitLowerPositionThatWasRequestedBefore() {
        floor.raise(LogPosition.of(1, 81), at(10));

        assertThat(floor.permits(observed(1, 80, 9))).isTrue();
    }

    // Guards against a rejection of all reads after a promotion that has rolled the log back.
    @Test
    void shouldPermitLowerPositionWhenNewTermHasBegun() {
        floor.raise(LogPosition.of(1, 81), at(10));
        floor.enterTerm(Term.of(2));
        floor.raise(LogPosition.of(1, 82), at(20));

        assertThat(floor.permits(observed(1, 75, 30))).isTrue();
    }

    // Guards against a floor that commits which continue keep out of effect.
    @Test
    void shouldNotPermitPositionBelowEarlierFloorWhenFloorWasRaisedSince() {
        floor.raise(LogPosition.of(1, 90), at(10));
        floor.raise(LogPosition.of(1, 91), at(20));

        assertThat(floor.permits(observed(1, 81, 15))).isFalse();
        assertThat(floor.permits(observed(1, 90, 15))).isTrue();
    }

    // Guards against a floor that a late report lowers.
    @Test
    void shouldKeepFloorWhenLowerPositionIsReported() {
        floor.raise(LogPosition.of(1, 81), at(10));
        floor.raise(LogPosition.of(1, 70), at(20));

        assertThat(floor.permits(observed(1, 80, 15))).isFalse();
    }

    private static ObservedPosition observed(long term, long offset, long requestedMillis) {
        return new ObservedPosition(LogPosition.of(term, offset), at(requestedMillis));
    }

    private static ClockReading at(long millis) {
        long nanos = TimeUnit.MILLISECONDS.toNanos(millis);
        return new ClockReading(nanos, nanos);
    }
}
