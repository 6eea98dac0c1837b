package org.carobstage.testbed.database;

/** Limits how many permits are in use at once and records the peak and the refusals. */
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
     * Acquires a permit if one is available.
     *
     * @return false if all permits are in use
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

    /** Releases a permit. */
    public synchronized void release() {
        usedCount--;
    }

    /**
     * Returns the number of permits in use.
     *
     * @return the current number of permits in use
     */
    public synchronized int usedCount() {
        return usedCount;
    }

    /**
     * Returns the highest number of permits that were in use at once.
     *
     * @return the peak number of permits in use
     */
    public synchronized int peakCount() {
        return peakCount;
    }

    /**
     * Returns how many requests for a permit were refused.
     *
     * @return the number of refusals
     */
    public synchronized long refusalCount() {
        return refusalCount;
    }
}
