package org.carobstage.peer;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.model.VmId;
import org.carobstage.peer.PeerTransport.Link;
import org.carobstage.peer.PeerTransport.Receiver;

/** A link to another process; it carries messages once both sides have sent their hello. */
public final class PeerLink implements Receiver {
    /** A peer that answers at all does so within a few ms, a busy one within 100 ms. */
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofMillis(1_000);

    /** Five times the interval in which each side has something to send. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1_000);

    private final Link link;
    private final Events events;
    private final boolean outgoing;
    private final long openedNanos;
    private long receivedNanos;
    private Optional<PeerHello> peer = Optional.empty();
    private boolean closed;

    private PeerLink(Link link, Events events, boolean outgoing, long nowNanos) {
        this.link = link;
        this.events = events;
        this.outgoing = outgoing;
        this.openedNanos = nowNanos;
        this.receivedNanos = nowNanos;
    }

    static PeerLink outgoing(Link link, Events events, PeerHello self, long nowNanos) {
        PeerLink opened = new PeerLink(link, events, true, nowNanos);
        link.send(self.encode());
        return opened;
    }

    static PeerLink incoming(Link link, Events events, long nowNanos) {
        return new PeerLink(link, events, false, nowNanos);
    }

    /**
     * Returns the VM of the other process.
     *
     * @return the VM
     */
    public VmId vm() {
        return peer.orElseThrow().vm();
    }

    /**
     * Returns the run of the other process.
     *
     * @return the run
     */
    public String run() {
        return peer.orElseThrow().run();
    }

    /**
     * Sends a message; it is dropped if the link is closed or the peer does not read.
     *
     * @param message the encoded message
     * @return whether the message was accepted for sending
     */
    public boolean send(byte[] message) {
        return isReady() && link.send(message);
    }

    boolean isReady() {
        return !closed && peer.isPresent();
    }

    boolean hasPeer() {
        return peer.isPresent();
    }

    /**
     * Returns whether this process has opened the link.
     *
     * @return false if the other process has
     */
    public boolean isOutgoing() {
        return outgoing;
    }

    /** Returns whether the peer has not sent what it has to send at regular intervals. */
    boolean isSilent(long nowNanos) {
        return peer.isPresent()
                ? nowNanos - receivedNanos > SILENCE_TIMEOUT.toNanos()
                : nowNanos - openedNanos > HANDSHAKE_TIMEOUT.toNanos();
    }

    void close() {
        link.close();
    }

    @Override
    public void onMessage(byte[] message) {
        if (closed) {
            return;
        }
        receivedNanos = events.nanoTime();
        if (peer.isPresent()) {
            events.onMessage(this, message);
            return;
        }
        PeerHello hello = PeerHello.decode(message);
        Optional<String> refusal = events.check(hello);
        if (refusal.isPresent()) {
            throw new IllegalArgumentException(refusal.get());
        }
        peer = Optional.of(hello);
        if (!outgoing) {
            link.send(events.self().encode());
        }
        events.onReady(this);
    }

    @Override
    public void onClosed(Optional<Throwable> fault) {
        closed = true;
        events.onClosed(this, fault);
    }

    /** The owner of the links. */
    interface Events {
        long nanoTime();

        PeerHello self();

        /** Returns why a peer is not accepted, or empty if it is. */
        Optional<String> check(PeerHello hello);

        void onReady(PeerLink link);

        void onMessage(PeerLink link, byte[] message);

        void onClosed(PeerLink link, Optional<Throwable> fault);
    }
}
