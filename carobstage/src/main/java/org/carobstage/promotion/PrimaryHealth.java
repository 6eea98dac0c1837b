package org.carobstage.promotion;

/** What the sightings of a group say of its primary. */
public enum PrimaryHealth {
    /** The primary serves, or nothing proves that it does not. */
    HEALTHY,
    /** Too few instances answer this VM to judge the others. */
    ISOLATED,
    /** A majority answers and none is primary of the highest promised term. */
    VACANT,
    /** The primary does not answer and a majority has lost contact with it. */
    SILENT,
    /** The primary answers and a majority has lost contact with it. */
    CUT;

    /**
     * Tells whether the group needs another primary.
     *
     * @return true if a promotion would help
     */
    public boolean needsPromotion() {
        return this == VACANT || this == SILENT || this == CUT;
    }
}
