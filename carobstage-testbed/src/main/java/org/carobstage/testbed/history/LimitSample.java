package org.carobstage.testbed.history;

import static java.util.Objects.requireNonNull;

/**
 * What an instance bore at one moment, and its limits.
 *
 * @param instance the instance
 * @param busy statements at once
 * @param slots the limit of statements at once
 * @param open connections at once
 * @param connections the limit of connections at once
 * @param refusals how often more than the limits was asked for
 */
public record LimitSample(
        String instance, int busy, int slots, int open, int connections, long refusals) {
    /** Checks the sample. */
    public LimitSample {
        requireNonNull(instance, "instance is null");
    }

    /**
     * Tells whether both limits were kept by the callers of the instance.
     *
     * @return true if nothing above them was borne or asked for
     */
    public boolean isWithinLimits() {
        return busy <= slots && open <= connections && refusals == 0;
    }
}
