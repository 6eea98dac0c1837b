package org.carobstage.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.freshness.ClockReading;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;

/** Reads that wait for a confirmed position that was requested after they arrived. */
final class ReadIndexQueue {
    private final List<WaitingRead> waiting = new ArrayList<>();

    private ReadIndexQueue() {}

    static ReadIndexQueue empty() {
        return new ReadIndexQueue();
    }

    void add(
            ClockReading since,
            long deadlineNanos,
            Consumer<ObservedPosition> onPosition,
            Consumer<String> onRejected) {
        waiting.add(new WaitingRead(since, deadlineNanos, onPosition, onRejected));
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /**
     * Completes the reads that the newest confirmed position covers, and removes those past their
     * deadline.
     *
     * @param newest the newest confirmed position
     * @param nowNanos the current monotonic time in ns
     */
    void completeReady(Optional<ObservedPosition> newest, long nowNanos) {
        List<WaitingRead> ready =
                waiting.stream().filter(p -> newest.filter(p::isCoveredBy).isPresent()).toList();
        waiting.removeAll(ready);
        waiting.removeIf(p -> nowNanos - p.deadlineNanos() >= 0);
        ready.forEach(p -> p.onPosition().accept(newest.orElseThrow()));
    }

    /** Rejects all waiting reads, because no position can be confirmed in time. */
    void failAll(String reason) {
        List<WaitingRead> reads = List.copyOf(waiting);
        waiting.clear();
        reads.forEach(p -> p.onRejected().accept(reason));
    }

    private record WaitingRead(
            ClockReading since,
            long deadlineNanos,
            Consumer<ObservedPosition> onPosition,
            Consumer<String> onRejected) {
        private boolean isCoveredBy(ObservedPosition observed) {
            return observed.requestedAt().monotonicNanos() - since.monotonicNanos() >= 0
                    && observed.requestedAt().epochNanos() - since.epochNanos() >= 0;
        }
    }
}
