package org.carobstage.testbed.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;
import org.carobstage.event.HybridTime;
import org.carobstage.model.Address;
import org.carobstage.peer.PeerCodec;
import org.carobstage.peer.PeerMessage;
import org.carobstage.peer.PeerNetwork;
import org.carobstage.runtime.Clock;

/** Carries messages between processes in one, with cuts; counts messages and bytes. */
public final class LocalNetwork {
    private static final Duration LATENCY = Duration.ofMillis(1);
    private static final HybridTime TIME = new HybridTime(1_767_225_600_000L, 0);
    private static final int FRAME_BYTES = 4;

    private final Clock clock;
    private final Map<Address, PeerNetwork.Listener> listeners = new HashMap<>();
    private BiPredicate<Address, Address> cut = (from, to) -> false;
    private boolean counting;
    private long messages;
    private long bytes;

    private LocalNetwork(Clock clock) {
        this.clock = clock;
    }

    /**
     * Creates a network.
     *
     * @param clock the runtime's clock
     * @return the network
     */
    public static LocalNetwork of(Clock clock) {
        return new LocalNetwork(clock);
    }

    /**
     * Returns the network as one process sees it.
     *
     * @param self where the process listens
     * @return its network
     */
    public PeerNetwork at(Address self) {
        return new Port(self);
    }

    /**
     * Sets which messages do not arrive.
     *
     * @param rule tells of a sender and a receiver whether they are cut off
     */
    public void cut(BiPredicate<Address, Address> rule) {
        cut = rule;
    }

    /** Starts to count messages and bytes from zero. */
    public void count() {
        counting = true;
        messages = 0;
        bytes = 0;
    }

    /**
     * Returns the messages counted.
     *
     * @return their number
     */
    public long messages() {
        return messages;
    }

    /**
     * Returns the bytes counted, with the frames' lengths.
     *
     * @return their number
     */
    public long bytes() {
        return bytes;
    }

    private boolean send(Address from, Address to, PeerMessage message) {
        if (counting) {
            messages++;
            bytes += PeerCodec.write(TIME, message).length + FRAME_BYTES;
        }
        if (!cut.test(from, to)) {
            clock.schedule(() -> deliver(from, to, message), LATENCY);
        }
        return true;
    }

    private void deliver(Address from, Address to, PeerMessage message) {
        PeerNetwork.Listener listener = listeners.get(to);
        if (listener != null) {
            listener.received(from, message);
        }
    }

    private final class Port implements PeerNetwork {
        private final Address self;

        private Port(Address self) {
            this.self = self;
        }

        @Override
        public Address address() {
            return self;
        }

        @Override
        public boolean send(Address to, PeerMessage message) {
            return LocalNetwork.this.send(self, to, message);
        }

        @Override
        public void listen(Listener listener) {
            listeners.put(self, listener);
        }

        @Override
        public void close() {
            listeners.remove(self);
        }
    }
}
