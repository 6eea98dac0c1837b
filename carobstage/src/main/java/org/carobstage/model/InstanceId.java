package org.carobstage.model;

import static java.util.Objects.requireNonNull;

/**
 * Identifies an instance of a database group, unique within its group.
 *
 * @param value the text of the identifier, not blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /**
     * Rejects a null or blank value.
     *
     * @throws IllegalArgumentException if {@code value} is blank
     */
    public InstanceId {
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
    public static InstanceId of(String value) {
        return new InstanceId(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof InstanceId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
