package org.carobstage.model;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;

/**
 * A position in the log of a database group, ordered by term and then by offset.
 *
 * @param term the term of the primary that wrote the entry
 * @param offset the number of entries up to and including this one
 */
public record LogPosition(Term term, long offset) implements Comparable<LogPosition> {
    private static final Comparator<LogPosition> ORDER =
            Comparator.comparing(LogPosition::term).thenComparingLong(LogPosition::offset);
    private static final LogPosition EMPTY = new LogPosition(Term.ZERO, 0);

    /**
     * Rejects a null term and a negative offset.
     *
     * @throws IllegalArgumentException if {@code offset} is negative
     */
    public LogPosition {
        requireNonNull(term, "term is null");
        if (offset < 0) {
            throw new IllegalArgumentException("offset is negative: " + offset);
        }
    }

    /**
     * Creates a position.
     *
     * @param term the number of the term
     * @param offset the number of entries up to and including this one
     * @return the position
     * @throws IllegalArgumentException if a number is negative
     */
    public static LogPosition of(long term, long offset) {
        return new LogPosition(Term.of(term), offset);
    }

    /**
     * Returns the position of an empty log.
     *
     * @return the lowest position
     */
    public static LogPosition empty() {
        return EMPTY;
    }

    /**
     * Returns whether a log that ends at this position holds all entries up to another one.
     *
     * @param other the other position
     * @return true if this position is not before {@code other}
     */
    public boolean isAtLeast(LogPosition other) {
        return compareTo(other) >= 0;
    }

    /**
     * Returns the later of two positions.
     *
     * @param other the other position
     * @return the later one
     */
    public LogPosition max(LogPosition other) {
        return isAtLeast(other) ? this : other;
    }

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof LogPosition that && offset == that.offset && term.equals(that.term);
    }

    @Override
    public int hashCode() {
        return 31 * term.hashCode() + Long.hashCode(offset);
    }

    @Override
    public String toString() {
        return term + ":" + offset;
    }
}
