package org.carobstage.admission;

/**
 * How fast the slots of an instance work a queue off.
 *
 * @param slots how many statements may run at once
 * @param busy how many run now
 * @param remainingNanos how much longer those are expected to run, summed up, in ns
 * @param serviceNanos how long a statement recently held a slot, in ns; 0 if unknown
 */
public record InstanceLoad(int slots, int busySlots, long remainingNanos, long serviceNanos) {
    private static final long NEVER_NANOS = Long.MAX_VALUE / 4;

    /**
     * Estimates the time until a request has run; zero if a slot is free for it, as only a run
     * shows how long statements take now.
     *
     * @param ahead how many requests get a slot before it
     * @return the wait and the run, in ns
     */
    public long estimateCompletionNanos(int ahead) {
        if (slots <= 0) {
            return NEVER_NANOS;
        }
        if (ahead + busySlots < slots) {
            return 0;
        }
        return (ahead * serviceNanos + remainingNanos) / slots + serviceNanos;
    }
}
