package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.carobstage.model.LogPosition;

/**
 * Positions of a service's primary, each with the moment at which it was asked for. A position that
 * a proven primary answers covers every commit acknowledged before the question was sent. A read
 * may require the oldest position that its staleness bound allows, which lagging replicas are most
 * likely to have.
 */
public final class PrimaryPositionHistory {
    /** Finer steps would make no difference to a replica's chance of having the position. */
    private static final Duration STEP = Duration.ofMillis(50);

    /** The longest staleness bound that older positions are kept for. */
    private static final Duration KEPT = Duration.ofSeconds(10);

    /** Covers the resolution of the clocks of the client and of this VM. */
    private static final Duration MARGIN = Duration.ofMillis(20);

    private final Deque<ObservedPosition> evidence = new ArrayDeque<>();

    private Optional<ObservedPosition> newest = Optional.empty();

    private PrimaryPositionHistory() {}

    /**
     * Creates a history without positions.
     *
     * @return the history
     */
    public static PrimaryPositionHistory empty() {
        return new PrimaryPositionHistory();
    }

    /**
     * Adds the answer of a proven primary.
     *
     * @param position the end of its log
     * @param asked when the question was sent
     * @param now the present moment
     */
    public void add(LogPosition position, ClockReading asked, ClockReading now) {
        requireNonNull(position, "position is null");
        while (!evidence.isEmpty()
                && evidence.peekFirst().requestedAt().age(now).compareTo(KEPT) > 0) {
            evidence.removeFirst();
        }
        ObservedPosition next = new ObservedPosition(position, asked);
        if (newest.filter(e -> asked.monotonicNanos() - e.requestedAt().monotonicNanos() < 0)
                .isEmpty()) {
            newest = Optional.of(next);
        }
        ObservedPosition last = evidence.peekLast();
        if (last == null
                || asked.monotonicNanos() - last.requestedAt().monotonicNanos() >= STEP.toNanos()) {
            evidence.addLast(next);
        }
    }

    /**
     * Returns the oldest position whose age is within a bound.
     *
     * @param staleness how old a read may be
     * @param received when the read arrived
     * @return the position that covers every commit the read must see, if one is known
     */
    public Optional<ObservedPosition> oldestWithin(Duration staleness, ClockReading received) {
        Duration bound = staleness.minus(MARGIN);
        return evidence.stream()
                .filter(e -> e.requestedAt().age(received).compareTo(bound) <= 0)
                .findFirst();
    }

    /**
     * Returns the newest position.
     *
     * @return the position and when it was asked for, if any is known
     */
    public Optional<ObservedPosition> newest() {
        return newest;
    }

    /**
     * A position and when it was asked for.
     *
     * @param position the end of the primary's log
     * @param asked when the question was sent
     */
    public record ObservedPosition(LogPosition position, ClockReading requestedAt) {}
}
