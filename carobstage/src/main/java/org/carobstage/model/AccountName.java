package org.carobstage.model;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a client account.
 *
 * @param value the name of the account, not blank
 */
public record AccountName(String value) implements Comparable<AccountName> {
    /**
     * Rejects a null or blank value.
     *
     * @throws IllegalArgumentException if {@code value} is blank
     */
    public AccountName {
        requireNonNull(value, "value is null");
        if (value.isBlank()) {
            throw new IllegalArgumentException("value is blank");
        }
    }

    /**
     * Creates an identifier.
     *
     * @param value the name of the account
     * @return the identifier
     * @throws IllegalArgumentException if {@code value} is blank
     */
    public static AccountName of(String value) {
        return new AccountName(value);
    }

    @Override
    public int compareTo(AccountName other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AccountName that && value.equals(that.value);
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
