package org.carobstage.admission;

/**
 * How many statements to run at once at an instance that others use too: additive increase while it
 * has slots, multiplicative decrease when it refuses.
 *
 * @param value the limit, at least 1
 */
public record ConcurrencyLimit(double value) {
    private static final double DECREASE = 0.7;
    private static final double INCREASE_PER_ROUND = 0.2;
    private static final ConcurrencyLimit NONE = new ConcurrencyLimit(Double.MAX_VALUE);

    /**
     * Returns the limit of an instance that has not refused.
     *
     * @return no limit
     */
    public static ConcurrencyLimit none() {
        return NONE;
    }

    /**
     * Takes the end of a statement in.
     *
     * @param refused true if the instance had refused it for want of a slot
     * @param slots the slots of the share
     * @return the new limit
     */
    public ConcurrencyLimit with(boolean refused, int slots) {
        double current = Math.max(1, Math.min(value, slots));
        double next = refused ? current * DECREASE : current + INCREASE_PER_ROUND / current;
        return new ConcurrencyLimit(Math.max(1, Math.min(next, slots)));
    }

    /**
     * Bounds the slots of the share.
     *
     * @param slots the slots of the share
     * @return how many to use
     */
    public int bound(int slots) {
        return (int) Math.min(slots, value);
    }
}
