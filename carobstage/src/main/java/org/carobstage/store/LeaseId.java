package org.carobstage.store;

/**
 * Identifies a lease of the store.
 *
 * @param value the number that the store assigned
 */
public record LeaseId(long value) {
    /** The id for keys without a lease, which remain until they are deleted. */
    public static final LeaseId NONE = new LeaseId(0);
}
