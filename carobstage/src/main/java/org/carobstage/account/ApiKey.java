package org.carobstage.account;

import static java.util.Objects.requireNonNull;

/**
 * The key that a client presents to act for an account. Its text is a secret and appears in no log.
 *
 * @param value the text of the key
 */
public record ApiKey(String value) {
    /** Rejects a null value. */
    public ApiKey {
        requireNonNull(value, "value is null");
    }

    /**
     * Creates a key.
     *
     * @param value the text of the key
     * @return the key
     */
    public static ApiKey of(String value) {
        return new ApiKey(value);
    }

    @Override
    public String toString() {
        return "ApiKey[redacted]";
    }
}
