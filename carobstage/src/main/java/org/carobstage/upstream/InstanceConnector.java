package org.carobstage.upstream;

import java.time.Duration;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;

/** Opens connections to instances. */
@FunctionalInterface
public interface InstanceConnector {
    /**
     * Opens a connection.
     *
     * @param target the instance, whose service and id the peer must confirm
     * @param timeout how long opening may take
     * @param listener told of the outcome
     */
    void connect(InstanceEntry target, Duration timeout, Listener listener);

    /** Told what becomes of a connection. */
    interface Listener {
        /**
         * The connection is open.
         *
         * @param connection the connection
         */
        void onOpened(InstanceConnection connection);

        /**
         * The connection could not be opened.
         *
         * @param reason why
         */
        void onOpenFailed(OpenFailure reason);

        /** An open connection was lost. */
        void onLost();

        /**
         * Creates a listener from functions.
         *
         * @param opened takes the open connection
         * @param failed takes the reason of a failure
         * @param lost runs when an open connection is lost
         * @return the listener
         */
        static Listener of(
                Consumer<InstanceConnection> opened, Consumer<OpenFailure> failed, Runnable lost) {
            return new Listener() {
                @Override
                public void onOpened(InstanceConnection connection) {
                    opened.accept(connection);
                }

                @Override
                public void onOpenFailed(OpenFailure reason) {
                    failed.accept(reason);
                }

                @Override
                public void onLost() {
                    lost.run();
                }
            };
        }
    }

    /** Why a connection could not be opened. */
    enum OpenFailure {
        /** The peer did not answer in time. */
        NO_ANSWER,
        /** The peer reset the connection or has no listener. */
        RESET,
        /** The instance takes no more connections. */
        CONNECTION_LIMIT,
        /** Another service or instance answers at the address. */
        WRONG_INSTANCE,
        /** The instance refused for another reason. */
        REFUSED
    }
}
