package org.carobstage.security;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** A key or password; {@link #toString} hides the text so that it does not appear in logs. */
public final class Secret {
    /** The minimum number of characters of a secret. */
    public static final int MIN_LENGTH = 16;

    private final byte[] bytes;

    private Secret(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Creates a secret.
     *
     * @param text the text of the key or password
     * @return the secret
     * @throws IllegalArgumentException if the text is shorter than {@value #MIN_LENGTH} characters
     */
    public static Secret of(String text) {
        requireNonNull(text, "text is null");
        if (text.length() < MIN_LENGTH) {
            throw new IllegalArgumentException("shorter than " + MIN_LENGTH + " characters");
        }
        return new Secret(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the secret as bytes.
     *
     * @return a copy of the UTF-8 bytes
     */
    public byte[] bytes() {
        return bytes.clone();
    }

    /**
     * Compares a text with this secret in constant time, so that response times do not reveal where
     * they differ.
     *
     * @param candidate the text to compare
     * @return true if the text equals this secret
     */
    public boolean matches(String candidate) {
        return MessageDigest.isEqual(bytes, candidate.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Secret secret && MessageDigest.isEqual(bytes, secret.bytes);
    }

    @Override
    public int hashCode() {
        return Secret.class.hashCode();
    }

    @Override
    public String toString() {
        return "(secret)";
    }
}
