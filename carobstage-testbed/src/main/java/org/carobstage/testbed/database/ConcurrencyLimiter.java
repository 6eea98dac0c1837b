package org.carobstage.testbed.database;

/** Counts the use of something scarce, refuses beyond a limit, and remembers the extremes. */
public final class ConcurrencyLimiter {
    private final int limit;
    private int usedCount;
    private int peakCount;
    private long refusalCount;

    private ConcurrencyLimiter(int limit) {
        this.limit = limit;
    }

    static ConcurrencyLimiter of(int limit) {
        return new ConcurrencyLimiter(limit);
    }

    /**
     * Takes one if one is free.
     *
     * @return false if all are in use
     */
    public synchronized boolean tryAcquire() {
        if (usedCount >= limit) {
            refusalCount++;
            return false;
        }
        usedCount++;
        peakCount = Math.max(peakCount, usedCount);
        return true;
    }

    /** Gives one back. */
    public synchronized void release() {
        usedCount--;
    }

    /**
     * Returns how many are in use.
     *
     * @return the number in use now
     */
    public synchronized int usedCount() {
        return usedCount;
    }

    /**
     * Returns how many were in use at most.
     *
     * @return the highest number in use so far
     */
    public synchronized int peakCount() {
        return peakCount;
    }

    /**
     * Returns how often one was demanded beyond the limit.
     *
     * @return the number of refusals so far
     */
    public synchronized long refusalCount() {
        return refusalCount;
    }
}
