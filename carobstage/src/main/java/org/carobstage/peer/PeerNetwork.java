package org.carobstage.peer;

import org.carobstage.model.Address;

/** Sends messages to the processes of other entry VMs; none is certain to arrive. */
public interface PeerNetwork extends AutoCloseable {
    /**
     * Returns where peers reach this process.
     *
     * @return the address
     */
    Address address();

    /**
     * Sends a message.
     *
     * @param to where the receiver listens
     * @param message the message
     * @return false if the message was dropped at once because too many wait for that peer
     */
    boolean send(Address to, PeerMessage message);

    /**
     * Sets who takes the messages of peers; messages before this are dropped.
     *
     * @param listener called on the network's thread
     */
    void listen(Listener listener);

    /** Closes all connections. */
    @Override
    void close();

    /**
     * Creates the network of a process that has no peers.
     *
     * @param address the address to name
     * @return a network that carries nothing
     */
    static PeerNetwork none(Address address) {
        return new PeerNetwork() {
            @Override
            public Address address() {
                return address;
            }

            @Override
            public boolean send(Address to, PeerMessage message) {
                return false;
            }

            @Override
            public void listen(Listener listener) {}

            @Override
            public void close() {}
        };
    }

    /** Takes messages of peers. */
    @FunctionalInterface
    interface Listener {
        /**
         * Takes a message.
         *
         * @param from where the sender listens
         * @param message the message
         */
        void received(Address from, PeerMessage message);
    }
}
