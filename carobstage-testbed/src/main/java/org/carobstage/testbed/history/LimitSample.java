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
 */
public record LimitSample(String instance, int busy, int slots, int open, int connections) {
    /** Checks the sample. */
    public LimitSample {
        requireNonNull(instance, "instance is null");
    }

    /**
     * Tells whether both limits were kept.
     *
     * @return true if neither was passed
     */
    public boolean isKept() {
        return busy <= slots && open <= connections;
    }
}
