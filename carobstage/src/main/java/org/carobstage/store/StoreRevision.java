package org.carobstage.store;

import java.util.Comparator;

/**
 * A revision of the store, ordered by era and then by number. A store that is restored from a copy
 * loses its latest revisions and assigns their numbers again; its era is then one higher.
 *
 * @param era the number of times that the store was restored, as it reports it
 * @param number the number of the revision within the history of the era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    /** The revision before any change. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    /** Numbers stay below 2^40, so that an era and a number fit into one token. */
    private static final int NUMBER_BITS = 40;

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    /**
     * Returns a number that is higher for each later revision, also across eras.
     *
     * @return the fencing token of a lease that was acquired at this revision
     */
    public long toFencingToken() {
        return (era << NUMBER_BITS) + number;
    }

    /**
     * Returns the later of two revisions.
     *
     * @param other the other revision
     * @return the later one
     */
    public StoreRevision max(StoreRevision other) {
        return compareTo(other) >= 0 ? this : other;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoreRevision that && era == that.era && number == that.number;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(era) + Long.hashCode(number);
    }

    @Override
    public String toString() {
        return era + "/" + number;
    }
}
