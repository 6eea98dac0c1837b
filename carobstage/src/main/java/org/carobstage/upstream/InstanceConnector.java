package org.carobstage.upstream;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.AccountName;

/** Opens connections to instances. */
@FunctionalInterface
public interface InstanceConnector {
    /**
     * Opens a connection.
     *
     * @param target the instance, whose service and id the peer must confirm
     * @param account the client account whose statements the connection will run, or empty if it
     *     serves none
     * @param timeout how long opening may take
     * @param listener notified of the outcome
     */
    void connect(
            InstanceEntry target,
            Optional<AccountName> account,
            Duration timeout,
            Listener listener);

    /** Receives the events of one connection. */
    interface Listener {
        /**
         * Called when the connection is open.
         *
         * @param connection the connection
         */
        void onOpened(InstanceConnection connection);

        /**
         * Called when the connection could not be opened.
         *
         * @param reason the reason of the failure
         */
        void onOpenFailed(OpenFailure reason);

        /** Called when an open connection is lost. */
        void onLost();

        /**
         * Creates a listener from functions.
         *
         * @param onOpened receives the open connection
         * @param onOpenFailed receives the reason of a failure
         * @param onLost runs when an open connection is lost
         * @return the listener
         */
        static Listener of(
                Consumer<InstanceConnection> onOpened,
                Consumer<OpenFailure> onOpenFailed,
                Runnable onLost) {
            return new Listener() {
                @Override
                public void onOpened(InstanceConnection connection) {
                    onOpened.accept(connection);
                }

                @Override
                public void onOpenFailed(OpenFailure reason) {
                    onOpenFailed.accept(reason);
                }

                @Override
                public void onLost() {
                    onLost.run();
                }
            };
        }
    }

    /** Why a connection could not be opened. */
    enum OpenFailure {
        /** The peer did not respond in time. */
        NO_ANSWER,
        /** The peer reset the connection or has no listener. */
        RESET,
        /** The instance has reached its connection limit. */
        CONNECTION_LIMIT,
        /** Another service or instance responds at the address. */
        WRONG_INSTANCE,
        /** The instance refused the connection for another reason. */
        REFUSED;

        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
