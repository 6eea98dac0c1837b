package org.carobstage.store;

/**
 * Names a lease of the store.
 *
 * @param value the number
 */
public record LeaseId(long value) {
    /** The lease of keys that last until they are deleted. */
    public static final LeaseId NONE = new LeaseId(0);
}
