package org.carobstage.testbed.history;

import static java.util.Objects.requireNonNull;

/**
 * The load of an instance at one moment, and its limits.
 *
 * @param instance the instance
 * @param busy the number of slots in use
 * @param slots the number of slots, which limits concurrent statements
 * @param open the number of open connections
 * @param connections the maximum number of connections
 * @param refusals how many requests for a slot or a connection the instance refused
 */
public record LimitSample(
        String instance, int busy, int slots, int open, int connections, long refusals) {
    /** Rejects a null instance. */
    public LimitSample {
        requireNonNull(instance, "instance is null");
    }

    /**
     * Returns whether the instance was used within its limits.
     *
     * @return true if neither limit is exceeded and no request was refused
     */
    public boolean isWithinLimits() {
        return busy <= slots && open <= connections && refusals == 0;
    }
}
