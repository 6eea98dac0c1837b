package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.carobstage.model.LogPosition;

/**
 * Log positions of a service's primary, each with the time of its request. A position reported by a
 * confirmed primary covers every commit acknowledged before the request was sent. A read needs only
 * the oldest position within its staleness bound, which lagging replicas are most likely to have.
 */
public final class PrimaryPositionHistory {
    /** Closer positions do not make more replicas eligible for a read. */
    private static final Duration MIN_SPACING = Duration.ofMillis(50);

    /** The longest staleness bound for which positions are retained. */
    private static final Duration RETENTION = Duration.ofSeconds(10);

    /** Allows for the clock resolution of the client and of this VM. */
    private static final Duration CLOCK_MARGIN = Duration.ofMillis(20);

    private final Deque<ObservedPosition> positions = new ArrayDeque<>();

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
     * Adds a position reported by a confirmed primary.
     *
     * @param position the last position of its log
     * @param requestedAt when the request was sent
     * @param now the current clock reading
     */
    public void add(LogPosition position, ClockReading requestedAt, ClockReading now) {
        requireNonNull(position, "position is null");
        while (!positions.isEmpty()
                && positions.peekFirst().requestedAt().age(now).compareTo(RETENTION) > 0) {
            positions.removeFirst();
        }
        ObservedPosition next = new ObservedPosition(position, requestedAt);
        if (newest.filter(e -> requestedAt.monotonicNanos() - e.requestedAt().monotonicNanos() < 0)
                .isEmpty()) {
            newest = Optional.of(next);
        }
        ObservedPosition last = positions.peekLast();
        if (last == null
                || requestedAt.monotonicNanos() - last.requestedAt().monotonicNanos()
                        >= MIN_SPACING.toNanos()) {
            positions.addLast(next);
        }
    }

    /**
     * Returns the oldest position within a staleness bound.
     *
     * @param maxStaleness the staleness bound of the read
     * @param receivedAt when the read arrived
     * @return the position that covers every commit the read must see, if one is known
     */
    public Optional<ObservedPosition> oldestWithin(Duration maxStaleness, ClockReading receivedAt) {
        Duration maxAge = maxStaleness.minus(CLOCK_MARGIN);
        return positions.stream()
                .filter(e -> e.requestedAt().age(receivedAt).compareTo(maxAge) <= 0)
                .findFirst();
    }

    /**
     * Returns the most recently requested position.
     *
     * @return the position and the time of its request, if any is known
     */
    public Optional<ObservedPosition> newest() {
        return newest;
    }

    /**
     * A position and the time of its request.
     *
     * @param position the last position of the primary's log
     * @param requestedAt when the request was sent
     */
    public record ObservedPosition(LogPosition position, ClockReading requestedAt) {}
}
