package org.carobstage.transaction;

import static java.util.Objects.requireNonNull;

import java.security.SecureRandom;
import java.util.Base64;
import org.carobstage.model.VmId;

/**
 * Unguessable identifier of an open transaction.
 *
 * @param vm the entry VM that holds the transaction
 * @param secret the unguessable part
 */
public record TransactionId(VmId vm, String secret) {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int SECRET_BYTES = 16;
    private static final char SEPARATOR = '.';

    /** Rejects null components. */
    public TransactionId {
        requireNonNull(vm, "vm is null");
        requireNonNull(secret, "secret is null");
    }

    /**
     * Generates a new id.
     *
     * @param vm the entry VM that holds the transaction
     * @return the id
     */
    public static TransactionId generate(VmId vm) {
        byte[] bytes = new byte[SECRET_BYTES];
        RANDOM.nextBytes(bytes);
        String secret = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
        return new TransactionId(vm, secret);
    }

    /**
     * Parses an id.
     *
     * @param text the id as text
     * @return the id
     * @throws IllegalArgumentException if the text is malformed
     */
    public static TransactionId parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator < 1) {
            throw new IllegalArgumentException("malformed transaction id: " + text);
        }
        return new TransactionId(
                VmId.of(text.substring(0, separator)), text.substring(separator + 1));
    }

    @Override
    public String toString() {
        return vm.value() + SEPARATOR + secret;
    }
}
