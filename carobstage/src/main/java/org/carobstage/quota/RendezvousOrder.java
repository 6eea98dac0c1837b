package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.carobstage.model.VmId;

/** Orders VMs by the hash of a key and their ids; the order is the same in every process. */
public final class RendezvousOrder {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousOrder() {}

    /**
     * Returns the position of a VM in the order of a key.
     *
     * @param key the key, such as the name of an account
     * @param vm the VM
     * @param members the VMs to order
     * @return the number of other members that precede the VM
     */
    public static int rank(String key, VmId vm, Collection<VmId> members) {
        requireNonNull(vm, "vm is null");
        long keyHash = hash(key.getBytes(StandardCharsets.UTF_8));
        long own = weight(keyHash, vm);
        return (int) members.stream().filter(other -> precedes(keyHash, other, own, vm)).count();
    }

    static long hash(byte[] bytes) {
        long hash = FNV_OFFSET;
        for (byte b : bytes) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    private static boolean precedes(long keyHash, VmId other, long own, VmId vm) {
        int order = Long.compareUnsigned(weight(keyHash, other), own);
        return order < 0 || order == 0 && other.compareTo(vm) < 0;
    }

    private static long weight(long keyHash, VmId vm) {
        byte[] id = vm.value().getBytes(StandardCharsets.UTF_8);
        return hash(ByteBuffer.allocate(Long.BYTES + id.length).putLong(keyHash).put(id).array());
    }

    /** Spreads differences in the last bytes over all bits, which FNV alone does not. */
    private static long mix(long hash) {
        long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
