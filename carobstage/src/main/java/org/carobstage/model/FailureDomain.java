package org.carobstage.model;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a failure domain: a set of VMs that may fail together.
 *
 * @param value the text of the identifier, not blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /**
     * Rejects a null or blank value.
     *
     * @throws IllegalArgumentException if {@code value} is blank
     */
    public FailureDomain {
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
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FailureDomain that && value.equals(that.value);
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
