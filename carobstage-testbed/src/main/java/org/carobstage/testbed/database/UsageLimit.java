package org.carobstage.testbed.database;

/** Counts the use of something scarce, refuses beyond a limit, and remembers the extremes. */
public final class UsageLimit {
    private final int limit;
    private int used;
    private int peak;
    private long refusals;

    private UsageLimit(int limit) {
        this.limit = limit;
    }

    static UsageLimit of(int limit) {
        return new UsageLimit(limit);
    }

    /**
     * Takes one if one is free.
     *
     * @return false if all are in use
     */
    public synchronized boolean take() {
        if (used >= limit) {
            refusals++;
            return false;
        }
        used++;
        peak = Math.max(peak, used);
        return true;
    }

    /** Gives one back. */
    public synchronized void free() {
        used--;
    }

    /**
     * Returns how many are in use.
     *
     * @return the number in use now
     */
    public synchronized int used() {
        return used;
    }

    /**
     * Returns how many were in use at most.
     *
     * @return the highest number in use so far
     */
    public synchronized int peak() {
        return peak;
    }

    /**
     * Returns how often one was demanded beyond the limit.
     *
     * @return the number of refusals so far
     */
    public synchronized long refusals() {
        return refusals;
    }
}
