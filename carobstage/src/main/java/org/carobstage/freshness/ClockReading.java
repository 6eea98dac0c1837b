package org.carobstage.freshness;

import java.time.Duration;
import org.carobstage.runtime.Clock;

/**
 * A reading of both clocks of the process. The monotonic clock does not advance while the VM is
 * suspended, and the time of day may be stepped, so an age is the larger of the two differences.
 *
 * @param monotonicNanos the monotonic time in ns
 * @param epochNanos the time of day in ns since the Unix epoch
 */
public record ClockReading(long monotonicNanos, long epochNanos) {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * Reads both clocks.
     *
     * @param clock the runtime's clock
     * @return the current reading
     */
    public static ClockReading now(Clock clock) {
        var instant = clock.instant();
        return new ClockReading(
                clock.nanoTime(), instant.getEpochSecond() * NANOS_PER_SECOND + instant.getNano());
    }

    /**
     * Returns the age of this reading.
     *
     * @param now the current reading
     * @return the larger of the ages by the two clocks
     */
    public Duration age(ClockReading now) {
        return Duration.ofNanos(
                Math.max(now.monotonicNanos - monotonicNanos, now.epochNanos - epochNanos));
    }

    /**
     * Returns whether this reading was not taken before another one of the same process.
     *
     * @param other the other reading
     * @return true if the monotonic time of this reading is the same or later
     */
    public boolean isSince(ClockReading other) {
        return monotonicNanos - other.monotonicNanos >= 0;
    }

    /**
     * Returns the earlier of two readings by each clock.
     *
     * @param other the other reading
     * @return a reading that is not later than either by any clock
     */
    public ClockReading earlier(ClockReading other) {
        return new ClockReading(
                monotonicNanos - other.monotonicNanos <= 0 ? monotonicNanos : other.monotonicNanos,
                Math.min(epochNanos, other.epochNanos));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ClockReading that
                && monotonicNanos == that.monotonicNanos
                && epochNanos == that.epochNanos;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(monotonicNanos) + Long.hashCode(epochNanos);
    }
}
