package org.carobstage.front;

import java.time.Instant;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.carobstage.failover.PromotionClient;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.fake.FakeService;
import org.carobstage.model.InstanceId;
import org.carobstage.route.RouteTable;
import org.carobstage.runtime.ManualClock;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.upstream.InstanceConnector;

/** A platform in memory: the key {@code routes} and keys {@code instances/ID} stand for facts. */
final class FakePlatformAdapter implements PlatformAdapter {
    final ManualClock clock = ManualClock.of(Instant.EPOCH);
    final FakeService service = FakeService.of(clock);
    final FakeMetadataStore store = FakeMetadataStore.of(clock);
    RouteTable routeTable = RouteTable.empty();
    private final FakeMetadataStore.Client view = store.client();
    private BiFunction<String, ClientChannel, ClientSession> sessions;
    private BooleanSupplier ready = () -> false;
    private boolean listening;
    boolean isClosed;

    /** Connects a client, unless nobody listens any more. */
    Optional<ClientSession> connect(String database, ClientChannel channel) {
        return listening ? Optional.of(sessions.apply(database, channel)) : Optional.empty();
    }

    boolean isReady() {
        return ready.getAsBoolean();
    }

    @Override
    public ManualClock clock() {
        return clock;
    }

    @Override
    public void execute(Runnable task) {
        task.run();
    }

    @Override
    public InstanceConnector instanceConnector() {
        return service.connector();
    }

    @Override
    public MetadataStore metadataStore() {
        return view;
    }

    @Override
    public PromotionClient promotionClient() {
        return service.promotionClient();
    }

    @Override
    public DecodedEntry decode(StoreEntry item) {
        if (item.key().equals("routes")) {
            return new DecodedEntry.Routes(routeTable);
        } else if (item.key().startsWith("instances/")) {
            String id = item.key().substring("instances/".length());
            return item.value().isPresent()
                    ? new DecodedEntry.InstanceRegistered(service.instanceEntry(id))
                    : new DecodedEntry.InstanceMissing(InstanceId.of(id), Optional.empty());
        }
        return new DecodedEntry.InternalKey();
    }

    @Override
    public void listenForClients(BiFunction<String, ClientChannel, ClientSession> accept) {
        sessions = accept;
        listening = true;
    }

    @Override
    public void stopListening() {
        listening = false;
    }

    @Override
    public void listenForProbes(BooleanSupplier readiness, Supplier<String> metrics) {
        ready = readiness;
    }

    @Override
    public void close() {
        isClosed = true;
    }
}
