package org.carobstage.admission;

/**
 * The current load of an instance, from which the waits in its queue are estimated.
 *
 * @param slots the number of statements that may run at once
 * @param busySlots the number of statements that run now
 * @param remainingNanos the sum of their expected remaining run times, in ns
 * @param serviceNanos the recent average time that a statement holds a slot, in ns; 0 if unknown
 */
public record InstanceLoad(int slots, int busySlots, long remainingNanos, long serviceNanos) {
    private static final long UNAVAILABLE_NANOS = Long.MAX_VALUE / 4;

    /**
     * Estimates the time until a request has completed. Zero if a slot is free for it, even if the
     * average service time exceeds the request's patience, since only running statements updates
     * the average.
     *
     * @param ahead the number of requests that get a slot before it
     * @return the queue wait and the service time, in ns
     */
    public long estimateCompletionNanos(int ahead) {
        if (slots <= 0) {
            return UNAVAILABLE_NANOS;
        }
        if (ahead + busySlots < slots) {
            return 0;
        }
        return (ahead * serviceNanos + remainingNanos) / slots + serviceNanos;
    }
}
