package org.carobstage.peer;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Address;

/** The secret that all processes of a fleet share; it never leaves the process. */
public final class PeerSecret {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;

    private final byte[] key;
    private final SecureRandom random = new SecureRandom();

    private PeerSecret(byte[] key) {
        this.key = key;
    }

    /**
     * Creates a secret.
     *
     * @param key the bytes from the settings
     * @return the secret
     */
    public static PeerSecret of(byte[] key) {
        return new PeerSecret(requireNonNull(key, "key is null").clone());
    }

    byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    byte[] proof(String role, Address initiator, byte[] firstNonce, byte[] secondNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            mac.update((role + " " + initiator + " ").getBytes(UTF_8));
            mac.update(firstNonce);
            return mac.doFinal(secondNonce);
        } catch (GeneralSecurityException e) {
            throw CodedException.of(ErrorCode.INTERNAL, "no " + ALGORITHM, e);
        }
    }

    static boolean same(byte[] one, byte[] other) {
        return other != null && MessageDigest.isEqual(one, other);
    }
}
