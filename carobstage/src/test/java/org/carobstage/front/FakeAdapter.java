package org.carobstage.front;

import java.time.Instant;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.carobstage.failover.FailoverOrders;
import org.carobstage.fake.FakeService;
import org.carobstage.fake.FakeStore;
import org.carobstage.model.InstanceId;
import org.carobstage.route.RouteTable;
import org.carobstage.runtime.PausedClock;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreItem;
import org.carobstage.upstream.InstanceConnector;

/** A platform in memory: the key {@code routes} and keys {@code instances/ID} stand for facts. */
final class FakeAdapter implements PlatformAdapter {
    final PausedClock clock = PausedClock.of(Instant.EPOCH);
    final FakeService service = FakeService.of(clock);
    final FakeStore store = FakeStore.of(clock);
    RouteTable routes = RouteTable.empty();
    private final FakeStore.View view = store.view();
    private BiFunction<String, ClientChannel, ClientSession> sessions;
    private BooleanSupplier ready = () -> false;
    private boolean listening;
    boolean closed;

    /** Connects a client, unless nobody listens any more. */
    Optional<ClientSession> connect(String database, ClientChannel channel) {
        return listening ? Optional.of(sessions.apply(database, channel)) : Optional.empty();
    }

    boolean isReady() {
        return ready.getAsBoolean();
    }

    @Override
    public PausedClock clock() {
        return clock;
    }

    @Override
    public void execute(Runnable task) {
        task.run();
    }

    @Override
    public InstanceConnector instances() {
        return service.connector();
    }

    @Override
    public MetadataStore store() {
        return view;
    }

    @Override
    public FailoverOrders orders() {
        return service.orderer();
    }

    @Override
    public StoreFact decode(StoreItem item) {
        if (item.key().equals("routes")) {
            return new StoreFact.Routes(routes);
        } else if (item.key().startsWith("instances/")) {
            String id = item.key().substring("instances/".length());
            return item.value().isPresent()
                    ? new StoreFact.Registered(service.entry(id))
                    : new StoreFact.Missing(InstanceId.of(id), Optional.empty());
        }
        return new StoreFact.Own();
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
        closed = true;
    }
}
