package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * The newest position that the primary and a replica are known to have held in the newest term. A
 * lower position that is requested later does not cover every acknowledged commit. What only the
 * primary has reported may never be acknowledged and is not included.
 */
public final class PositionFloor {
    private Term term = Term.ZERO;
    private Optional<ObservedPosition> newest = Optional.empty();

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
        if (!term.isAfter(position.term())
                && newest.filter(n -> n.position().isAtLeast(position)).isEmpty()) {
            newest = Optional.of(new ObservedPosition(position, now));
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
            newest = newest.filter(n -> !term.isAfter(n.position().term()));
        }
    }

    /**
     * Returns whether a position may cover every acknowledged commit.
     *
     * @param observed the position
     * @return false if it is below the floor, which was known before the position was requested
     */
    public boolean permits(ObservedPosition observed) {
        return newest.filter(n -> observed.requestedAt().isSince(n.requestedAt()))
                .filter(n -> !observed.position().isAtLeast(n.position()))
                .isEmpty();
    }
}
