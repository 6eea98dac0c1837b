package org.carobstage.route;

/** The consistency level of the reads of a route. */
public enum Consistency {
    /** Reads see every acknowledged commit. */
    PRIMARY,
    /** Reads see every commit older than the route's staleness bound. */
    BOUNDED_STALENESS,
    /** As {@link #BOUNDED_STALENESS}, and reads see every commit of their own session. */
    READ_YOUR_WRITES
}
