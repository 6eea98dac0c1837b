package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.stream.Stream;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.LogPosition;

/**
 * The position that commits are acknowledged up to, for log lines about evidence that does not
 * cover it; {@link PositionFloor} is what keeps such a position from being confirmed. An earlier
 * one is kept until evidence was requested after it; while commits continue, the newest is always
 * later than the request.
 */
final class AcknowledgedFloor {
    private Floor newest;
    private Floor earlier;

    private AcknowledgedFloor(Floor floor) {
        this.newest = floor;
        this.earlier = floor;
    }

    /** Returns the floor before the first commit. */
    static AcknowledgedFloor atStart(ClockReading now) {
        return new AcknowledgedFloor(new Floor(LogPosition.empty(), now));
    }

    /** Records that commits are acknowledged up to a position. */
    void raise(LogPosition position, ClockReading now) {
        if (!newest.position().isAtLeast(position)) {
            newest = new Floor(position, now);
        }
    }

    /** Returns the newest position that evidence should cover and does not. */
    Optional<LogPosition> contradictedBy(ObservedPosition evidence) {
        return Stream.of(newest, earlier)
                .filter(f -> f.isBefore(evidence))
                .map(Floor::position)
                .filter(position -> !evidence.position().isAtLeast(position))
                .findFirst();
    }

    /** Records that evidence was compared with the floor. */
    void onChecked(ObservedPosition evidence) {
        if (earlier.isBefore(evidence)) {
            earlier = newest;
        }
    }

    private record Floor(LogPosition position, ClockReading knownAt) {
        private Floor {
            requireNonNull(position, "position is null");
            requireNonNull(knownAt, "knownAt is null");
        }

        private boolean isBefore(ObservedPosition evidence) {
            return evidence.requestedAt().isSince(knownAt);
        }
    }
}
