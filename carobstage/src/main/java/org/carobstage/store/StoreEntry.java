package org.carobstage.store;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * A key and its value as of one revision of the store.
 *
 * @param key the key
 * @param value the value as UTF-8 text, empty if the key was deleted
 * @param revision the revision of its last change
 */
public record StoreEntry(String key, Optional<String> value, StoreRevision revision) {
    /** Rejects null components. */
    public StoreEntry {
        requireNonNull(key, "key is null");
        requireNonNull(value, "value is null");
        requireNonNull(revision, "revision is null");
    }
}
