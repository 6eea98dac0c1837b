package org.carobstage.ownership;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.VmId;

/** Rendezvous hashing: each pair of a subject and a VM has a weight that all processes know. */
public final class Rendezvous {
    private static final Map<VmId, Long> VMS = new ConcurrentHashMap<>();
    private static final int MAX_KEPT = 8_192;

    private Rendezvous() {}

    /**
     * Returns the hash of a subject, for {@link #weight}.
     *
     * @param subject the subject's name
     * @return its hash
     */
    public static long hash(String subject) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(subject.getBytes(UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw CodedException.of(ErrorCode.INTERNAL, "no SHA-256", e);
        }
    }

    /**
     * Returns the weight of a VM for a subject; the lowest weights win.
     *
     * @param subject the hash of the subject
     * @param vm the VM
     * @return the weight
     */
    public static long weight(long subject, VmId vm) {
        if (VMS.size() > MAX_KEPT) {
            VMS.clear();
        }
        long other = VMS.computeIfAbsent(vm, v -> hash(v.value()));
        return new SplittableRandom(subject ^ Long.rotateLeft(other, 17)).nextLong();
    }
}
