package org.carobstage.store;

import java.util.ArrayList;
import java.util.List;

/**
 * An atomic conditional write of one or more keys.
 *
 * @param conditions the revisions that keys must have
 * @param puts keys to write
 * @param deletes keys to delete
 */
public record StoreWrite(List<Condition> conditions, List<Put> puts, List<String> deletes) {
    /** Copies the collections. */
    public StoreWrite {
        conditions = List.copyOf(conditions);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }

    /**
     * Creates a write that sets a key unconditionally.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease whose end deletes the key, or {@link LeaseId#NONE}
     * @return the write
     */
    public static StoreWrite put(String key, String value, LeaseId lease) {
        return new StoreWrite(List.of(), List.of(new Put(key, value, lease)), List.of());
    }

    /**
     * Creates a write that sets a key if it does not exist.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease whose end deletes the key, or {@link LeaseId#NONE}
     * @return the write
     */
    public static StoreWrite putIfAbsent(String key, String value, LeaseId lease) {
        return new StoreWrite(
                List.of(new Condition(key, StoreRevision.NONE)),
                List.of(new Put(key, value, lease)),
                List.of());
    }

    /**
     * Creates a write that deletes a key unconditionally.
     *
     * @param key the key
     * @return the write
     */
    public static StoreWrite delete(String key) {
        return new StoreWrite(List.of(), List.of(), List.of(key));
    }

    /**
     * Creates a write that deletes a key if another key does not exist.
     *
     * @param key the key to delete
     * @param absent the key that must not exist
     * @return the write
     */
    public static StoreWrite deleteUnlessExists(String key, String absent) {
        return new StoreWrite(
                List.of(new Condition(absent, StoreRevision.NONE)), List.of(), List.of(key));
    }

    /**
     * Adds a condition.
     *
     * @param key the key
     * @param revision the revision that the key must have
     * @return the write with all conditions
     */
    public StoreWrite onlyIf(String key, StoreRevision revision) {
        List<Condition> all = new ArrayList<>(conditions);
        all.add(new Condition(key, revision));
        return new StoreWrite(all, puts, deletes);
    }

    /**
     * A revision that a key must have for the write to be applied.
     *
     * @param key the key
     * @param revision the revision, {@link StoreRevision#NONE} if the key must not exist
     */
    public record Condition(String key, StoreRevision revision) {}

    /**
     * A key to write.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease whose end deletes the key, or {@link LeaseId#NONE}
     */
    public record Put(String key, String value, LeaseId lease) {}
}
