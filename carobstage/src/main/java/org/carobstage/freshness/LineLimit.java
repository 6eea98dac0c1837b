package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;

/** Limits the log lines of one kind and counts those that are left out. */
final class LineLimit {
    private final Duration interval;
    private Optional<ClockReading> lastAt = Optional.empty();
    private int skipped;

    private LineLimit(Duration interval) {
        this.interval = requireNonNull(interval, "interval is null");
    }

    /** Creates a limit of one line per interval. */
    static LineLimit of(Duration interval) {
        return new LineLimit(interval);
    }

    /** Returns whether a line may be written now; if not, it counts as left out. */
    boolean tryAcquire(ClockReading now) {
        if (lastAt.filter(at -> at.age(now).compareTo(interval) < 0).isPresent()) {
            skipped++;
            return false;
        }
        lastAt = Optional.of(now);
        return true;
    }

    /** Returns how many lines were left out since the last call. */
    int takeSkipped() {
        int taken = skipped;
        skipped = 0;
        return taken;
    }
}
