package org.carobstage.peer;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.carobstage.model.Address;

/**
 * Sends messages between proxy processes over framed TCP connections. All callbacks run on the
 * event loop of the process.
 */
public interface PeerTransport {
    /** The maximum length of a message, in bytes. */
    int MAX_MESSAGE_BYTES = 64 * 1024;

    /**
     * Starts to accept links from other processes.
     *
     * @param address the address to listen on
     * @param receiver creates the receiver of an accepted link
     * @return completes with the listen address, or exceptionally if it cannot be used
     */
    CompletionStage<Address> listen(Address address, Function<Link, Receiver> receiver);

    /**
     * Opens a link to another process.
     *
     * @param address the address of the process
     * @param timeout how long opening may take
     * @param receiver creates the receiver once the link is open; {@link Receiver#onClosed} of the
     *     receiver of a link that could not be opened is not called
     * @param onFailed runs if the link could not be opened
     */
    void connect(
            Address address,
            Duration timeout,
            Function<Link, Receiver> receiver,
            Runnable onFailed);

    /** An open link. */
    interface Link {
        /**
         * Sends a message; it is dropped if the link is closed or the peer does not read.
         *
         * @param message the message, at most {@link #MAX_MESSAGE_BYTES} long
         * @return whether the message was accepted for sending
         */
        boolean send(byte[] message);

        /** Closes the link. */
        void close();
    }

    /** Receives the messages of a link. */
    interface Receiver {
        /**
         * Called for each message. An exception closes the link and nothing else.
         *
         * @param message the message
         */
        void onMessage(byte[] message);

        /**
         * Called once when an open link is closed by either side.
         *
         * @param fault the malformed frame or the exception of {@link #onMessage} that closed it,
         *     or empty if it was closed or lost
         */
        void onClosed(Optional<Throwable> fault);
    }
}
