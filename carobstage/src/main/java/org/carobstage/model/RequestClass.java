package org.carobstage.model;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a class of requests in a team's document.
 *
 * @param value the text of the identifier, not blank
 */
public record RequestClass(String value) implements Comparable<RequestClass> {
    /**
     * Rejects a null or blank value.
     *
     * @throws IllegalArgumentException if {@code value} is blank
     */
    public RequestClass {
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
    public static RequestClass of(String value) {
        return new RequestClass(value);
    }

    @Override
    public int compareTo(RequestClass other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
