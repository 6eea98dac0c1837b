package org.carobstage.platform;

import static java.util.Objects.requireNonNull;

/**
 * A key and its value in the platform's key-value service.
 *
 * @param key the key
 * @param version grows with each change of the key; 0 if the key is absent
 * @param value the value, empty if the key is absent
 */
public record Entry(String key, long version, String value) {
    /** Rejects null components. */
    public Entry {
        requireNonNull(key, "key is null");
        requireNonNull(value, "value is null");
    }

    /**
     * Creates the entry of an absent key.
     *
     * @param key the key
     * @return an entry of version 0
     */
    public static Entry absent(String key) {
        return new Entry(key, 0, "");
    }
}
