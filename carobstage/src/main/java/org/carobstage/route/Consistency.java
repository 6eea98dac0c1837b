package org.carobstage.route;

/** What a read of a route must see. */
public enum Consistency {
    /** Every acknowledged commit. */
    PRIMARY,
    /** Commits older than the route's staleness bound. */
    BOUNDED_STALENESS,
    /** Commits older than the staleness bound and all commits of the same session. */
    READ_YOUR_WRITES
}
