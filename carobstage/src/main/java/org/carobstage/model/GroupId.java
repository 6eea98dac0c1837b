package org.carobstage.model;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a database group.
 *
 * @param value the text of the identifier, not blank
 */
public record GroupId(String value) implements Comparable<GroupId> {
    /**
     * Rejects a null or blank value.
     *
     * @throws IllegalArgumentException if {@code value} is blank
     */
    public GroupId {
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
    public static GroupId of(String value) {
        return new GroupId(value);
    }

    @Override
    public int compareTo(GroupId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof GroupId that && value.equals(that.value);
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
