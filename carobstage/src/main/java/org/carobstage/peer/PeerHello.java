package org.carobstage.peer;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.carobstage.model.VmId;
import org.msgpack.value.ArrayValue;

/**
 * The first message in each direction of a link.
 *
 * @param version the version of the messages that follow
 * @param vm the VM of the sender
 * @param run the run of the sender, which differs from that of earlier processes on its VM
 */
public record PeerHello(int version, VmId vm, String run) {
    /** The version of the messages of this build. */
    public static final int CURRENT_VERSION = 1;

    private static final int MAX_TEXT_LENGTH = 256;

    /** Later versions may add elements, so that an earlier one can read their version. */
    private static final int MAX_ELEMENTS = 16;

    /** Rejects null components. */
    public PeerHello {
        requireNonNull(vm, "vm is null");
        requireNonNull(run, "run is null");
    }

    /**
     * Creates the message of a process of this build.
     *
     * @param vm the VM of the process
     * @param run the run of the process
     * @return the message
     */
    public static PeerHello of(VmId vm, String run) {
        return new PeerHello(CURRENT_VERSION, vm, run);
    }

    byte[] encode() {
        return PeerMessage.encode(List.of(version, vm.value(), run));
    }

    /**
     * Decodes a message.
     *
     * @param message the encoded message
     * @return the message
     * @throws IllegalArgumentException if it is malformed
     */
    static PeerHello decode(byte[] message) {
        ArrayValue list = PeerMessage.decodeList(message, 3, MAX_ELEMENTS);
        return new PeerHello(
                (int) PeerMessage.requireNumber(list.get(0), 0, Integer.MAX_VALUE),
                VmId.of(PeerMessage.requireText(list.get(1), MAX_TEXT_LENGTH)),
                PeerMessage.requireText(list.get(2), MAX_TEXT_LENGTH));
    }
}
