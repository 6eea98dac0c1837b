package org.carobstage.upstream;

import java.time.Duration;
import java.util.List;

/** The averages and counts that the connections to one instance have produced. */
final class PoolStatistics {
    /** The latency of statements and of openings assumed before the first sample. */
    private static final Duration INITIAL_LATENCY = Duration.ofMillis(20);

    /** The duration of transactions assumed before the first sample. */
    private static final Duration INITIAL_PIN_TIME = Duration.ofMillis(100);

    private final MovingAverage latency = MovingAverage.startingAt(INITIAL_LATENCY);
    private final MovingAverage openingTime = MovingAverage.startingAt(INITIAL_LATENCY);
    private final MovingAverage pinTime = MovingAverage.startingAt(INITIAL_PIN_TIME);
    private long openings;
    private long evictions;
    private long refusals;

    private PoolStatistics() {}

    static PoolStatistics empty() {
        return new PoolStatistics();
    }

    void onLatency(Duration sample) {
        latency.add(sample);
    }

    void onOpeningStarted() {
        openings++;
    }

    void onOpened(Duration sample) {
        openingTime.add(sample);
    }

    void onEvicted() {
        evictions++;
    }

    void onRefused() {
        refusals++;
    }

    void onUnpinned(Duration sample) {
        pinTime.add(sample);
    }

    MovingAverage latency() {
        return latency;
    }

    /** Returns the average time of an opening, or more if one in progress takes longer. */
    Duration expectedOpeningTime(List<Opening> inProgress, long nowNanos) {
        long longest =
                inProgress.stream().mapToLong(o -> nowNanos - o.startedNanos()).max().orElse(0);
        return Duration.ofNanos(Math.max(longest, openingTime.duration().toNanos()));
    }

    WaitEstimate waitEstimate(ConnectionShare share) {
        return new WaitEstimate(
                share, openingTime.duration(), latency.duration(), pinTime.duration());
    }

    PoolCounters counters(Duration backoff) {
        return new PoolCounters(openings, evictions, refusals, backoff);
    }
}
