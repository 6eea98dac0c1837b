package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

/** The kind of reports that confirm a position. */
public enum EvidenceBasis {
    /** No position is confirmed. */
    NONE("none"),
    /** The report of a primary alone, whose leadership a promotion ends at once. */
    PRIMARY("primary"),
    /** Enough instances, one of which reported as primary. */
    QUORUM("quorum"),
    /** Enough replicas, without a primary. */
    REPLICAS("replicas");

    private final String label;

    EvidenceBasis(String label) {
        this.label = requireNonNull(label, "label is null");
    }

    /**
     * Returns the name in log lines and metrics.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /**
     * Returns whether a primary reported.
     *
     * @return true if the report of a primary is among those that confirm the position
     */
    public boolean isWithPrimary() {
        return this == PRIMARY || this == QUORUM;
    }
}
