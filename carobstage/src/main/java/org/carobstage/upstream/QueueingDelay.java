package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.carobstage.upstream.DispatchPolicy.Load;

/**
 * The queueing delay at an instance: how much longer statements take than the fastest recent one of
 * the same priority, which has about the same work.
 */
final class QueueingDelay {
    /**
     * The smallest latency is that of the last one to two windows, so that an instance that has
     * become slow is not taken for one with a queue for ever. A burst of 3 s is shorter.
     */
    private static final Duration WINDOW = Duration.ofSeconds(5);

    /** The weight of the newest sample in the moving average. */
    private static final double NEWEST_WEIGHT = 0.5;

    /** The estimate falls to zero within this time without samples. */
    private static final Duration MEMORY = Duration.ofMillis(2_000);

    /** A queue that was full has drained by half after this time: 48 statements, 6 slots, 33 ms. */
    private static final Duration REFUSAL_MEMORY = Duration.ofMillis(500);

    private final Map<Integer, Smallest> smallest = new HashMap<>();
    private double delayNanos;
    private long lastSampleNanos;
    private long refusedUntilNanos;

    private QueueingDelay() {}

    static QueueingDelay empty() {
        return new QueueingDelay();
    }

    /**
     * Records the latency of a statement.
     *
     * @param priority its priority
     * @param latency the time from sending it to its result
     * @param nowNanos the current monotonic time in ns
     */
    void record(int priority, Duration latency, long nowNanos) {
        requireNonNull(latency, "latency is null");
        double previous = estimate(nowNanos).toNanos();
        Smallest recent =
                smallest.computeIfAbsent(priority, p -> Smallest.EMPTY)
                        .with(latency.toNanos(), nowNanos);
        smallest.put(priority, recent);
        double sample = latency.toNanos() - baseline(recent);
        delayNanos = previous + NEWEST_WEIGHT * (sample - previous);
        lastSampleNanos = nowNanos;
    }

    /** Records that the instance refused a statement because its queue is full. */
    void recordRefusal(long nowNanos) {
        refusedUntilNanos = nowNanos + REFUSAL_MEMORY.toNanos();
    }

    /** Returns the load of the instance, as far as this process can tell. */
    Load toLoad(int inFlight, long nowNanos) {
        return new Load(
                estimate(nowNanos),
                nowNanos - refusedUntilNanos < 0,
                inFlight,
                Duration.ofNanos(nowNanos - lastSampleNanos));
    }

    /** Returns the estimated queueing delay. */
    Duration estimate(long nowNanos) {
        double age = nowNanos - lastSampleNanos;
        double remaining = Math.max(0, 1 - age / MEMORY.toNanos());
        return Duration.ofNanos((long) (delayNanos * remaining));
    }

    /** A priority whose first samples may all have queued is compared with the other ones. */
    private long baseline(Smallest own) {
        return own.isSettled()
                ? own.nanos()
                : smallest.values().stream().mapToLong(Smallest::nanos).min().orElse(own.nanos());
    }

    /** The smallest values of the current window and of the one before. */
    private record Smallest(long windowStartNanos, long current, long earlier) {
        private static final Smallest EMPTY = new Smallest(0, Long.MAX_VALUE, Long.MAX_VALUE);

        private Smallest with(long value, long nowNanos) {
            if (current == Long.MAX_VALUE) {
                return new Smallest(nowNanos, value, earlier);
            }
            boolean ended = nowNanos - windowStartNanos >= WINDOW.toNanos();
            return ended
                    ? new Smallest(nowNanos, value, current)
                    : new Smallest(windowStartNanos, Math.min(current, value), earlier);
        }

        private boolean isSettled() {
            return earlier != Long.MAX_VALUE;
        }

        private long nanos() {
            return Math.min(current, earlier);
        }
    }
}
