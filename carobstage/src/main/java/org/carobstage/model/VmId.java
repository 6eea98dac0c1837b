package org.carobstage.model;

import static java.util.Objects.requireNonNull;

/**
 * Identifies an entry VM; successive processes on the same VM share the identifier.
 *
 * @param value the text of the identifier, not blank
 */
public record VmId(String value) implements Comparable<VmId> {
    /**
     * Rejects a null or blank value.
     *
     * @throws IllegalArgumentException if {@code value} is blank
     */
    public VmId {
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
    public static VmId of(String value) {
        return new VmId(value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VmId that && value.equals(that.value);
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
