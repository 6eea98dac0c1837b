package org.carobstage.front;

import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.failover.PromotionClient;
import org.carobstage.model.InstanceId;
import org.carobstage.route.RouteTable;
import org.carobstage.runtime.Clock;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.upstream.InstanceConnector;

/**
 * The platform that a process runs on: its wire formats and calls. Everything it calls back runs on
 * its one event loop.
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
     * Returns the way to the instances.
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
     * Returns the way to order promotions.
     *
     * @return the orders
     */
    PromotionClient promotionClient();

    /**
     * Says what a key of the store means.
     *
     * @param item the key as it is now
     * @return the meaning
     */
    DecodedEntry decode(StoreEntry item);

    /**
     * Listens for clients.
     *
     * @param sessions opens a session for a database on a channel
     */
    void listenForClients(BiFunction<String, ClientChannel, ClientSession> sessions);

    /** Takes no more connections of clients; those that are open stay. */
    void stopListening();

    /**
     * Listens for questions about readiness and for metrics.
     *
     * @param ready whether new connections are wanted
     * @param metrics the metrics as text
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
         * @param failures takes what goes wrong inside callbacks
         * @return the adapter
         */
        PlatformAdapter create(ProxyServerSettings settings, Consumer<Throwable> failures);
    }

    /** What a key of the store means. */
    sealed interface DecodedEntry {
        /**
         * The routes in force.
         *
         * @param table the routes
         */
        record Routes(RouteTable table) implements DecodedEntry {}

        /**
         * An instance has registered itself.
         *
         * @param entry its entry
         */
        record InstanceRegistered(InstanceEntry entry) implements DecodedEntry {}

        /**
         * The entry of an instance is missing or names none that can be used.
         *
         * @param id the instance
         * @param reason why, empty if it is missing
         */
        record InstanceMissing(InstanceId id, Optional<String> reason) implements DecodedEntry {}

        /**
         * A value that can't be read.
         *
         * @param reason why
         */
        record Unreadable(String reason) implements DecodedEntry {}

        /** A key of the product itself. */
        record InternalKey() implements DecodedEntry {}
    }
}
