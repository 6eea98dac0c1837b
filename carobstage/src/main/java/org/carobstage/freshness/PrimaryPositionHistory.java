package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.carobstage.model.LogPosition;

/**
 * Log positions of a service's primary, each with the time of its request. A primary cannot tell by
 * itself that it has not been replaced, so a position is used only once a {@link PositionQuorum}
 * has confirmed its term at that time or later. A read needs only the oldest position within its
 * staleness bound, which lagging replicas are most likely to have.
 */
public final class PrimaryPositionHistory {
    /** Closer positions do not make more replicas eligible for a read. */
    private static final Duration MIN_SPACING = Duration.ofMillis(50);

    /** The longest staleness bound for which positions are retained. */
    private static final Duration RETENTION = Duration.ofSeconds(10);

    /** Allows for the clock resolution of the client and of this VM. */
    private static final Duration CLOCK_MARGIN = Duration.ofMillis(20);

    private final Deque<ObservedPosition> confirmed = new ArrayDeque<>();
    private final Deque<ObservedPosition> unconfirmed = new ArrayDeque<>();

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
     * Adds a position reported by an instance that believes to be primary.
     *
     * @param position the last position of its log
     * @param requestedAt when the request was sent
     * @param now the current clock reading
     */
    public void add(LogPosition position, ClockReading requestedAt, ClockReading now) {
        requireNonNull(position, "position is null");
        removeExpired(unconfirmed, now);
        addSpaced(unconfirmed, new ObservedPosition(position, requestedAt));
    }

    /**
     * Confirms the positions of one term up to a time. No commit of a later term was acknowledged
     * until then, so the primary's log held every acknowledged commit.
     *
     * @param evidence the position that a quorum confirms
     * @param now the current clock reading
     */
    public void confirm(ObservedPosition evidence, ClockReading now) {
        removeExpired(confirmed, now);
        long confirmedNanos = evidence.requestedAt().monotonicNanos();
        unconfirmed.stream()
                .filter(p -> p.position().term().equals(evidence.position().term()))
                .filter(p -> p.requestedAt().monotonicNanos() - confirmedNanos <= 0)
                .forEach(p -> addSpaced(confirmed, p.withBasis(evidence.basis())));
        unconfirmed.removeIf(p -> p.requestedAt().monotonicNanos() - confirmedNanos <= 0);
        addSpaced(confirmed, evidence);
    }

    /**
     * Returns the oldest confirmed position within a staleness bound.
     *
     * @param maxStaleness the staleness bound of the read
     * @param receivedAt when the read arrived
     * @return the position that covers every commit the read must see, if one is known
     */
    public Optional<ObservedPosition> oldestWithin(Duration maxStaleness, ClockReading receivedAt) {
        Duration maxAge = maxStaleness.minus(CLOCK_MARGIN);
        return confirmed.stream()
                .filter(e -> e.requestedAt().age(receivedAt).compareTo(maxAge) <= 0)
                .findFirst();
    }

    private static void removeExpired(Deque<ObservedPosition> positions, ClockReading now) {
        while (!positions.isEmpty()
                && positions.peekFirst().requestedAt().age(now).compareTo(RETENTION) > 0) {
            positions.removeFirst();
        }
    }

    private static void addSpaced(Deque<ObservedPosition> positions, ObservedPosition next) {
        ObservedPosition last = positions.peekLast();
        if (last == null
                || next.requestedAt().monotonicNanos() - last.requestedAt().monotonicNanos()
                        >= MIN_SPACING.toNanos()) {
            positions.addLast(next);
        }
    }

    /**
     * A position and the time of its request.
     *
     * @param position the last position of the primary's log
     * @param requestedAt when the request was sent
     * @param basis the kind of reports that confirm it, which equality disregards
     */
    public record ObservedPosition(
            LogPosition position, ClockReading requestedAt, EvidenceBasis basis) {
        /**
         * Creates a position that is not confirmed.
         *
         * @param position the last position of the primary's log
         * @param requestedAt when the request was sent
         */
        public ObservedPosition(LogPosition position, ClockReading requestedAt) {
            this(position, requestedAt, EvidenceBasis.NONE);
        }

        /**
         * Returns the position with the kind of reports that confirm it.
         *
         * @param newBasis the kind of reports
         * @return the confirmed position
         */
        public ObservedPosition withBasis(EvidenceBasis newBasis) {
            return new ObservedPosition(position, requestedAt, newBasis);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof ObservedPosition that
                    && position.equals(that.position)
                    && requestedAt.equals(that.requestedAt);
        }

        @Override
        public int hashCode() {
            return 31 * position.hashCode() + requestedAt.hashCode();
        }
    }
}
