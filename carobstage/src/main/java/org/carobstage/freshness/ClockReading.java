package org.carobstage.freshness;

import java.time.Duration;
import org.carobstage.runtime.Clock;

/**
 * A moment on both clocks of the process. The monotonic clock does not count the time that a VM is
 * suspended and the time of day may be stepped, so an age is the larger of the two differences.
 *
 * @param nanos the monotonic time
 * @param epochNanos the time of day
 */
public record ClockReading(long monotonicNanos, long epochNanos) {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * Returns the present moment.
     *
     * @param clock the runtime's clock
     * @return the moment
     */
    public static ClockReading now(Clock clock) {
        var instant = clock.instant();
        return new ClockReading(
                clock.nanoTime(), instant.getEpochSecond() * NANOS_PER_SECOND + instant.getNano());
    }

    /**
     * Returns how long ago this moment was, at least.
     *
     * @param now the present moment
     * @return the larger age of both clocks
     */
    public Duration age(ClockReading now) {
        return Duration.ofNanos(
                Math.max(now.monotonicNanos - monotonicNanos, now.epochNanos - epochNanos));
    }
}
