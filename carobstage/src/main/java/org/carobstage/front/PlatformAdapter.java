package org.carobstage.front;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.failover.PromotionClient;
import org.carobstage.model.Address;
import org.carobstage.model.InstanceId;
import org.carobstage.peer.PeerTransport;
import org.carobstage.route.RouteTable;
import org.carobstage.runtime.Clock;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.upstream.InstanceConnector;

/**
 * The platform that a process runs on: its wire formats and services. All callbacks run on its
 * single event loop.
 */
public interface PlatformAdapter extends AutoCloseable {
    /**
     * Returns the clock of the event loop.
     *
     * @return the clock
     */
    Clock clock();

    /**
     * Runs a task on the event loop.
     *
     * @param task the task
     */
    void execute(Runnable task);

    /**
     * Returns the connector that opens connections to instances.
     *
     * @return the connector
     */
    InstanceConnector instanceConnector();

    /**
     * Returns the metadata store.
     *
     * @return the store
     */
    MetadataStore metadataStore();

    /**
     * Returns the client that requests promotions.
     *
     * @return the promotion client
     */
    PromotionClient promotionClient();

    /**
     * Returns the transport of messages between processes.
     *
     * @return the transport
     */
    PeerTransport peerTransport();

    /**
     * Decodes an entry of the metadata store.
     *
     * @param entry the current entry
     * @return the decoded entry
     */
    DecodedEntry decode(StoreEntry entry);

    /**
     * Starts to accept client connections.
     *
     * @param sessionFactory opens the sessions
     * @return completes with the listen address, or exceptionally if it cannot be used
     */
    CompletionStage<Address> listenForClients(SessionFactory sessionFactory);

    /** Stops accepting client connections; open ones are kept. */
    void stopListening();

    /**
     * Starts to serve readiness probes and metrics.
     *
     * @param ready returns whether the process is ready for new connections
     * @param metrics returns the metrics in text format
     */
    void listenForProbes(BooleanSupplier ready, Supplier<String> metrics);

    @Override
    void close();

    /** Creates the adapter of a process. */
    @FunctionalInterface
    interface Factory {
        /**
         * Creates an adapter.
         *
         * @param settings the settings of the process
         * @param failures receives exceptions thrown by callbacks
         * @return the adapter
         */
        PlatformAdapter create(ProxyServerSettings settings, Consumer<Throwable> failures);
    }

    /** A decoded entry of the metadata store. */
    sealed interface DecodedEntry {
        /**
         * The current routes.
         *
         * @param table the route table
         */
        record Routes(RouteTable table) implements DecodedEntry {}

        /**
         * The registration of an instance.
         *
         * @param entry the instance entry
         */
        record InstanceRegistered(InstanceEntry entry) implements DecodedEntry {}

        /**
         * An instance whose entry is missing or unusable.
         *
         * @param id the instance
         * @param reason why the entry is unusable, empty if it is missing
         */
        record InstanceMissing(InstanceId id, Optional<String> reason) implements DecodedEntry {}

        /**
         * An entry that could not be decoded.
         *
         * @param reason the decoding error
         */
        record Unreadable(String reason) implements DecodedEntry {}

        /** An entry that carobstage itself writes, such as a membership or a vote. */
        record InternalKey() implements DecodedEntry {}
    }
}
