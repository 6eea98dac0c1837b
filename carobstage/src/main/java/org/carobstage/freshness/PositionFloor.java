package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.Deque;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * The newest position that the primary and a replica are known to have held in the newest term. A
 * lower position that is requested later does not cover every acknowledged commit. What only the
 * primary has reported may never be acknowledged and is not included.
 */
public final class PositionFloor {
    /** Earlier positions matter only for positions that were requested before the later ones. */
    private static final int MAX_POSITIONS = 32;

    private final Deque<ObservedPosition> positions = new ArrayDeque<>();
    private Term term = Term.ZERO;

    private PositionFloor() {}

    /**
     * Creates a floor that permits every position.
     *
     * @return the floor
     */
    public static PositionFloor none() {
        return new PositionFloor();
    }

    /**
     * Raises the floor to a position of the newest term.
     *
     * @param position a position that the primary and a replica held
     * @param now the current clock reading
     */
    public void raise(LogPosition position, ClockReading now) {
        requireNonNull(now, "now is null");
        ObservedPosition last = positions.peekLast();
        if (term.isAfter(position.term()) || last != null && last.position().isAtLeast(position)) {
            return;
        }
        positions.addLast(new ObservedPosition(position, now));
        if (positions.size() > MAX_POSITIONS) {
            positions.removeFirst();
        }
    }

    /**
     * Removes the floor of an earlier term, whose log the promotion may have rolled back.
     *
     * @param newestTerm the newest term that an instance has reported
     */
    public void enterTerm(Term newestTerm) {
        if (newestTerm.isAfter(term)) {
            term = newestTerm;
            positions.removeIf(p -> term.isAfter(p.position().term()));
        }
    }

    /**
     * Returns whether a position may cover every acknowledged commit.
     *
     * @param observed the position
     * @return false if it is below the floor, which was known before the position was requested
     */
    public boolean permits(ObservedPosition observed) {
        return positions.stream()
                .filter(p -> observed.requestedAt().isSince(p.requestedAt()))
                .allMatch(p -> observed.position().isAtLeast(p.position()));
    }
}
