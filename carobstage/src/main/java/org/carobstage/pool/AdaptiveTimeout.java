package org.carobstage.pool;

import java.time.Duration;
import org.HdrHistogram.Histogram;

/**
 * How long to wait for the answer to an exchange before its connection counts as lost: a multiple
 * of a high percentile of the recent exchanges. Not safe for use by several threads.
 */
public final class AdaptiveTimeout {
    /** The shortest timeout. */
    public static final Duration MIN = Duration.ofMillis(100);

    /** The longest timeout. */
    public static final Duration MAX = Duration.ofSeconds(2);

    /** The timeout before enough exchanges were seen. */
    public static final Duration DEFAULT = Duration.ofMillis(500);

    private static final double PERCENTILE = 99;
    private static final int MULTIPLE = 4;
    private static final int MIN_SAMPLES = 100;
    private static final int SAMPLES_PER_WINDOW = 1_000;
    private static final long MAX_MICROS = Duration.ofMinutes(1).toNanos() / 1_000;
    private static final int DIGITS = 2;

    private Histogram current = new Histogram(MAX_MICROS, DIGITS);
    private Histogram last = new Histogram(MAX_MICROS, DIGITS);
    private Duration value = DEFAULT;

    private AdaptiveTimeout() {}

    /**
     * Creates a policy that has seen no exchange.
     *
     * @return the policy
     */
    public static AdaptiveTimeout empty() {
        return new AdaptiveTimeout();
    }

    /**
     * Takes in how long an exchange took.
     *
     * @param nanos the time from request to answer, in ns
     */
    public void recordLatency(long nanos) {
        current.recordValue(Math.max(0, Math.min(nanos / 1_000, MAX_MICROS)));
        long count = current.getTotalCount();
        if (count % MIN_SAMPLES == 0) {
            value = compute();
        }
        if (count == SAMPLES_PER_WINDOW) {
            Histogram old = last;
            last = current;
            current = old;
            current.reset();
        }
    }

    /**
     * Returns the timeout for a statement that may be tried elsewhere after it.
     *
     * @return the timeout
     */
    public Duration value() {
        return value;
    }

    private Duration compute() {
        long current99 = current.getValueAtPercentile(PERCENTILE);
        long last99 = last.getTotalCount() == 0 ? 0 : last.getValueAtPercentile(PERCENTILE);
        long micros = Math.max(current99, last99) * MULTIPLE;
        Duration wanted = Duration.ofNanos(micros * 1_000);
        if (wanted.compareTo(MIN) < 0) {
            return MIN;
        }
        return wanted.compareTo(MAX) > 0 ? MAX : wanted;
    }
}
