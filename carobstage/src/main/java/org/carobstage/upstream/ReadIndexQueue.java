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
 * Reads that wait for a position of the primary that was asked for after they arrived. One question
 * at a time is under way; its answer serves all who waited when it was sent.
 */
final class ReadIndexQueue {
    private final List<Proof> waiting = new ArrayList<>();
    private boolean asking;

    private ReadIndexQueue() {}

    static ReadIndexQueue empty() {
        return new ReadIndexQueue();
    }

    void add(
            ClockReading since,
            long deadlineNanos,
            Consumer<LogPosition> proven,
            Consumer<String> refused) {
        waiting.add(new Proof(since, deadlineNanos, proven, refused));
    }

    /**
     * Serves those whom the newest evidence suffices.
     *
     * @param newest the newest evidence
     * @param now the monotonic time
     * @param answered whether the question under way has been answered
     * @return the deadline of the next question, if one has to be sent
     */
    Optional<Long> completeReady(Optional<ObservedPosition> newest, long now, boolean answered) {
        asking &= !answered;
        List<Proof> settled =
                waiting.stream().filter(p -> newest.filter(p::isMetBy).isPresent()).toList();
        waiting.removeAll(settled);
        waiting.removeIf(p -> now - p.deadlineNanos() >= 0);
        settled.forEach(p -> p.proven().accept(newest.orElseThrow().position()));
        if (waiting.isEmpty() || asking) {
            return Optional.empty();
        }
        asking = true;
        OptionalLong latest = waiting.stream().mapToLong(Proof::deadlineNanos).max();
        return Optional.of(latest.orElse(now));
    }

    /** Refuses all who wait, because no primary can prove its lead in time. */
    void failAll(String reason) {
        asking = false;
        List<Proof> refused = List.copyOf(waiting);
        waiting.clear();
        refused.forEach(p -> p.refused().accept(reason));
    }

    private record Proof(
            ClockReading since,
            long deadlineNanos,
            Consumer<LogPosition> proven,
            Consumer<String> refused) {
        private boolean isMetBy(ObservedPosition evidence) {
            return evidence.requestedAt().monotonicNanos() - since.monotonicNanos() >= 0
                    && evidence.requestedAt().epochNanos() - since.epochNanos() >= 0;
        }
    }
}
