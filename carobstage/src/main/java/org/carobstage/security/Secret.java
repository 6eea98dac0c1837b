package org.carobstage.security;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** A key or password; its text never shows in logs. */
public final class Secret {
    /** The fewest characters of a secret. */
    public static final int MIN_LENGTH = 16;

    private final byte[] bytes;

    private Secret(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Creates a secret.
     *
     * @param text the text
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
     * @return a copy of the bytes
     */
    public byte[] bytes() {
        return bytes.clone();
    }

    /**
     * Compares with what somebody offered, in a time that does not depend on where they differ.
     *
     * @param offered the offered text
     * @return true if it is this secret
     */
    public boolean matches(String offered) {
        return MessageDigest.isEqual(bytes, offered.getBytes(StandardCharsets.UTF_8));
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
