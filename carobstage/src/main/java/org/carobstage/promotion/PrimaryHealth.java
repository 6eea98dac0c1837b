package org.carobstage.promotion;

/** Health of a group's primary, assessed from the latest observations. */
public enum PrimaryHealth {
    /** The primary serves, or there is no evidence that it does not. */
    HEALTHY,
    /** Fewer than a majority of the instances respond to this VM. */
    ISOLATED,
    /** A majority responds and no instance is primary of the highest promised term. */
    VACANT,
    /** The primary does not respond and a majority has lost contact with it. */
    SILENT,
    /** The primary responds and a majority has lost contact with it. */
    CUT;

    /**
     * Returns whether the group needs another primary.
     *
     * @return true if another instance should be promoted
     */
    public boolean needsPromotion() {
        return this == VACANT || this == SILENT || this == CUT;
    }
}
