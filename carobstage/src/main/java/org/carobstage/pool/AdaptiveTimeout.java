package org.carobstage.pool;

import java.time.Duration;
import org.HdrHistogram.Histogram;

/**
 * The timeout after which the connection of an unanswered request counts as lost: a multiple of a
 * high percentile of the recent latencies. Not thread-safe.
 */
public final class AdaptiveTimeout {
    /** The shortest timeout. */
    public static final Duration MIN = Duration.ofMillis(100);

    /** The longest timeout. */
    public static final Duration MAX = Duration.ofSeconds(2);

    /** The timeout before enough latencies have been recorded. */
    public static final Duration DEFAULT = Duration.ofMillis(500);

    private static final double PERCENTILE = 99;
    private static final int PERCENTILE_MULTIPLE = 4;
    private static final int MIN_SAMPLES = 100;
    private static final int SAMPLES_PER_WINDOW = 1_000;
    private static final long MAX_LATENCY_MICROS = Duration.ofMinutes(1).toNanos() / 1_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    private Histogram currentWindow = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private Histogram previousWindow = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private Duration value = DEFAULT;

    private AdaptiveTimeout() {}

    /**
     * Creates a timeout without recorded latencies.
     *
     * @return the timeout
     */
    public static AdaptiveTimeout empty() {
        return new AdaptiveTimeout();
    }

    /**
     * Records the latency of a request.
     *
     * @param nanos the time from request to response, in ns
     */
    public void recordLatency(long nanos) {
        currentWindow.recordValue(Math.max(0, Math.min(nanos / 1_000, MAX_LATENCY_MICROS)));
        long count = currentWindow.getTotalCount();
        if (count % MIN_SAMPLES == 0) {
            value = compute();
        }
        if (count == SAMPLES_PER_WINDOW) {
            Histogram recycled = previousWindow;
            previousWindow = currentWindow;
            currentWindow = recycled;
            currentWindow.reset();
        }
    }

    /**
     * Returns the timeout for a statement that may be retried at another instance after it.
     *
     * @return the timeout
     */
    public Duration value() {
        return value;
    }

    private Duration compute() {
        long currentMicros = currentWindow.getValueAtPercentile(PERCENTILE);
        long previousMicros =
                previousWindow.getTotalCount() == 0
                        ? 0
                        : previousWindow.getValueAtPercentile(PERCENTILE);
        long micros = Math.max(currentMicros, previousMicros) * PERCENTILE_MULTIPLE;
        Duration timeout = Duration.ofNanos(micros * 1_000);
        if (timeout.compareTo(MIN) < 0) {
            return MIN;
        }
        return timeout.compareTo(MAX) > 0 ? MAX : timeout;
    }
}
