package org.carobstage.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.carobstage.freshness.ClockReading;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.LogPosition;

/**
 * Reads that wait for a position of the primary requested after they arrived. One request at a time
 * is in flight; its response serves all reads that waited when it was sent.
 */
final class ReadIndexQueue {
    private final List<WaitingRead> waiting = new ArrayList<>();
    private boolean requestInFlight;

    private ReadIndexQueue() {}

    static ReadIndexQueue empty() {
        return new ReadIndexQueue();
    }

    void add(
            ClockReading since,
            long deadlineNanos,
            Consumer<LogPosition> onPosition,
            Consumer<String> onRejected) {
        waiting.add(new WaitingRead(since, deadlineNanos, onPosition, onRejected));
    }

    /**
     * Completes the reads that the newest observed position covers, and removes those past their
     * deadline.
     *
     * @param newestObserved the newest observed position of the primary
     * @param nowNanos the current monotonic time in ns
     * @param responded whether the response to the request in flight has arrived
     * @return the deadline of the next request in monotonic ns, if one has to be sent
     */
    Optional<Long> completeReady(
            Optional<ObservedPosition> newestObserved, long nowNanos, boolean responded) {
        requestInFlight &= !responded;
        List<WaitingRead> ready =
                waiting.stream()
                        .filter(p -> newestObserved.filter(p::isCoveredBy).isPresent())
                        .toList();
        waiting.removeAll(ready);
        waiting.removeIf(p -> nowNanos - p.deadlineNanos() >= 0);
        ready.forEach(p -> p.onPosition().accept(newestObserved.orElseThrow().position()));
        if (waiting.isEmpty() || requestInFlight) {
            return Optional.empty();
        }
        requestInFlight = true;
        OptionalLong latestDeadline = waiting.stream().mapToLong(WaitingRead::deadlineNanos).max();
        return Optional.of(latestDeadline.orElse(nowNanos));
    }

    /** Rejects all waiting reads, because no primary can confirm its leadership in time. */
    void failAll(String reason) {
        requestInFlight = false;
        List<WaitingRead> reads = List.copyOf(waiting);
        waiting.clear();
        reads.forEach(p -> p.onRejected().accept(reason));
    }

    private record WaitingRead(
            ClockReading since,
            long deadlineNanos,
            Consumer<LogPosition> onPosition,
            Consumer<String> onRejected) {
        private boolean isCoveredBy(ObservedPosition observed) {
            return observed.requestedAt().monotonicNanos() - since.monotonicNanos() >= 0
                    && observed.requestedAt().epochNanos() - since.epochNanos() >= 0;
        }
    }
}
