package org.carobstage.model;

/**
 * The term of a primary in a database group; a higher term supersedes every lower one.
 *
 * @param number the number of the term, 0 before the first primary
 */
public record Term(long number) implements Comparable<Term> {
    /** The term before the first primary. */
    public static final Term ZERO = new Term(0);

    /**
     * Rejects a negative number.
     *
     * @throws IllegalArgumentException if {@code number} is negative
     */
    public Term {
        if (number < 0) {
            throw new IllegalArgumentException("number is negative: " + number);
        }
    }

    /**
     * Creates a term.
     *
     * @param number the number of the term
     * @return the term
     * @throws IllegalArgumentException if {@code number} is negative
     */
    public static Term of(long number) {
        return new Term(number);
    }

    /**
     * Returns the term that follows this one.
     *
     * @return the next term
     */
    public Term next() {
        return new Term(number + 1);
    }

    /**
     * Returns whether this term supersedes another.
     *
     * @param other the other term
     * @return true if this term is higher
     */
    public boolean isAfter(Term other) {
        return number > other.number;
    }

    @Override
    public int compareTo(Term other) {
        return Long.compare(number, other.number);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Term that && number == that.number;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
