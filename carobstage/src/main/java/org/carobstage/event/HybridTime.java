package org.carobstage.event;

import java.util.Comparator;

/**
 * A timestamp of a hybrid logical clock; an event has a later one than the events it depends on.
 *
 * @param millis the time of day in ms
 * @param counter orders events of the same millisecond
 */
public record HybridTime(long millis, int counter) implements Comparable<HybridTime> {
    private static final Comparator<HybridTime> ORDER =
            Comparator.comparingLong(HybridTime::millis).thenComparingInt(HybridTime::counter);

    /**
     * Returns the time of the next event at a process.
     *
     * @param nowMillis the time of day in ms
     * @return a time after this one, at {@code nowMillis} if that is later
     */
    public HybridTime next(long nowMillis) {
        return nowMillis > millis
                ? new HybridTime(nowMillis, 0)
                : new HybridTime(millis, counter + 1);
    }

    /**
     * Returns the time after both this one and one that a peer sent.
     *
     * @param received the time that the peer sent
     * @param nowMillis the time of day in ms
     * @return a time after both
     */
    public HybridTime merge(HybridTime received, long nowMillis) {
        HybridTime later = compareTo(received) >= 0 ? this : received;
        return later.next(nowMillis);
    }

    @Override
    public int compareTo(HybridTime other) {
        return ORDER.compare(this, other);
    }
}
