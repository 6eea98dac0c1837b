package org.carobstage.admission;

/**
 * An exponentially weighted moving average of how long statements hold a slot.
 *
 * @param averageNanos the average, in ns; 0 before the first sample
 */
public record ServiceTime(long averageNanos) {
    private static final int WEIGHT_SHIFT = 4;
    private static final ServiceTime EMPTY = new ServiceTime(0);

    /**
     * Returns an average without samples.
     *
     * @return the average, whose value is 0
     */
    public static ServiceTime empty() {
        return EMPTY;
    }

    /**
     * Adds a sample.
     *
     * @param sample how long a statement held its slot, in ns
     * @return the new average
     */
    public ServiceTime withSample(long sample) {
        boolean first = averageNanos == 0;
        return new ServiceTime(
                first ? sample : averageNanos + ((sample - averageNanos) >> WEIGHT_SHIFT));
    }
}
