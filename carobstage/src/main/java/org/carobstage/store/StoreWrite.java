package org.carobstage.store;

import java.util.List;

/**
 * A conditional change, carried out wholly or not at all.
 *
 * @param conditions keys whose revisions must stand
 * @param puts keys to write
 * @param deletes keys to delete
 */
public record StoreWrite(List<Condition> conditions, List<Put> puts, List<String> deletes) {
    /** Checks the change. */
    public StoreWrite {
        conditions = List.copyOf(conditions);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }

    /**
     * Creates the unconditional write of a key.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease that the key ends with
     * @return the change
     */
    public static StoreWrite put(String key, String value, LeaseId lease) {
        return new StoreWrite(List.of(), List.of(new Put(key, value, lease)), List.of());
    }

    /**
     * Creates the write of a key that must not exist.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease that the key ends with
     * @return the change
     */
    public static StoreWrite putIfAbsent(String key, String value, LeaseId lease) {
        return new StoreWrite(
                List.of(new Condition(key, 0)), List.of(new Put(key, value, lease)), List.of());
    }

    /**
     * Creates the deletion of a key.
     *
     * @param key the key
     * @return the change
     */
    public static StoreWrite delete(String key) {
        return new StoreWrite(List.of(), List.of(), List.of(key));
    }

    /**
     * Creates the deletion of a key while another one does not exist.
     *
     * @param key the key to delete
     * @param absent the key that must not exist
     * @return the change
     */
    public static StoreWrite deleteUnlessExists(String key, String absent) {
        return new StoreWrite(List.of(new Condition(absent, 0)), List.of(), List.of(key));
    }

    /**
     * A key whose revision must stand.
     *
     * @param key the key
     * @param revision the revision, 0 if the key must not exist
     */
    public record Condition(String key, long revision) {}

    /**
     * A key to write.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease that the key ends with
     */
    public record Put(String key, String value, LeaseId lease) {}
}
