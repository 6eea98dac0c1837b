package org.carobstage.model;

import static java.util.Objects.requireNonNull;

/**
 * Identifies one intended execution of a statement across retries.
 *
 * @param value the text of the identifier, not blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /**
     * Rejects a null or blank value.
     *
     * @throws IllegalArgumentException if {@code value} is blank
     */
    public IdempotencyKey {
        requireNonNull(value, "value is null");
        if (value.isBlank()) {
            throw new IllegalArgumentException("value is blank");
        }
    }

    /**
     * Creates an identifier.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if {@code value} is blank
     */
    public static IdempotencyKey of(String value) {
        return new IdempotencyKey(value);
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
