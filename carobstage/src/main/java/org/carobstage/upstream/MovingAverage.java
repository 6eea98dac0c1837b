package org.carobstage.upstream;

import java.time.Duration;

/** An exponentially weighted moving average of durations. */
final class MovingAverage {
    /** The weight of the newest sample. */
    private static final double NEWEST_WEIGHT = 0.2;

    private double millis;

    private MovingAverage(double millis) {
        this.millis = millis;
    }

    static MovingAverage startingAt(Duration initial) {
        return new MovingAverage(initial.toNanos() / 1e6);
    }

    void add(Duration sample) {
        millis += NEWEST_WEIGHT * (sample.toNanos() / 1e6 - millis);
    }

    double millis() {
        return millis;
    }

    Duration duration() {
        return Duration.ofNanos((long) (millis * 1e6));
    }
}
