package org.carobstage.front;

import java.net.BindException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.carobstage.account.ApiKey;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.failover.PromotionClient;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.fake.FakePeerNetwork;
import org.carobstage.fake.FakeService;
import org.carobstage.fake.MessageFilter;
import org.carobstage.model.Address;
import org.carobstage.model.InstanceId;
import org.carobstage.peer.PeerTransport;
import org.carobstage.route.RouteTable;
import org.carobstage.runtime.Clock;
import org.carobstage.runtime.FailureIsolation;
import org.carobstage.runtime.ManualClock;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.upstream.InstanceConnector;

/**
 * An in-memory platform. The store key {@code routes} decodes to the route table that its value
 * names, or else to the current one, a key {@code instances/ID} to the registration of that
 * instance.
 */
final class FakePlatformAdapter implements PlatformAdapter {
    final ManualClock clock = ManualClock.of(Instant.EPOCH);
    final FakeService service = FakeService.of(clock);
    final FakeMetadataStore store = FakeMetadataStore.of(clock);
    RouteTable routeTable = RouteTable.empty();
    final FakePeerNetwork peers = FakePeerNetwork.of(clock);
    final Map<String, RouteTable> routeTables = new HashMap<>();
    final Map<String, InstanceEntry> instanceEntries = new HashMap<>();
    String failingKey = "";
    int remainingConnectFailures;
    private final FakeMetadataStore.Client storeClient = store.client();
    private SessionFactory sessionFactory;
    private BooleanSupplier readinessProbe = () -> false;
    private boolean listening;
    boolean isClosed;
    boolean isAddressInUse;
    boolean isConnectorFaulty;
    final List<RuntimeException> callbackFailures = new ArrayList<>();

    /** Connects a client, unless the server has stopped accepting connections. */
    Optional<ClientSession> connect(String database, ClientChannel channel) {
        return connect(database, "", channel);
    }

    Optional<ClientSession> connect(String database, String key, ClientChannel channel) {
        return listening
                ? Optional.of(sessionFactory.open(database, ApiKey.of(key), channel))
                : Optional.empty();
    }

    boolean isReady() {
        return readinessProbe.getAsBoolean();
    }

    @Override
    public Clock clock() {
        return new IsolatingClock(clock, callbackFailures);
    }

    @Override
    public void execute(Runnable task) {
        task.run();
    }

    @Override
    public InstanceConnector instanceConnector() {
        InstanceConnector connector = service.connector();
        return (target, account, timeout, listener) -> {
            if (isConnectorFaulty || remainingConnectFailures > 0) {
                remainingConnectFailures = Math.max(0, remainingConnectFailures - 1);
                throw new IllegalStateException("connector failed");
            }
            connector.connect(target, account, timeout, listener);
        };
    }

    @Override
    public MetadataStore metadataStore() {
        return storeClient;
    }

    @Override
    public PromotionClient promotionClient() {
        return service.promotionClient(MessageFilter.NONE);
    }

    @Override
    public PeerTransport peerTransport() {
        return peers.transport();
    }

    @Override
    public DecodedEntry decode(StoreEntry entry) {
        if (entry.key().equals(failingKey)) {
            throw new IllegalStateException("decoder failed");
        } else if (entry.key().equals("routes")) {
            return new DecodedEntry.Routes(entry.value().map(routeTables::get).orElse(routeTable));
        } else if (entry.key().startsWith("instances/")) {
            String id = entry.key().substring("instances/".length());
            return entry.value().isPresent()
                    ? new DecodedEntry.InstanceRegistered(
                            Optional.ofNullable(instanceEntries.get(id))
                                    .orElseGet(() -> service.instanceEntry(id)))
                    : new DecodedEntry.InstanceMissing(InstanceId.of(id), Optional.empty());
        }
        return new DecodedEntry.InternalKey();
    }

    @Override
    public CompletionStage<Address> listenForClients(SessionFactory factory) {
        if (isAddressInUse) {
            return CompletableFuture.failedFuture(new BindException("address in use"));
        }
        sessionFactory = factory;
        listening = true;
        return CompletableFuture.completedFuture(Address.of("127.0.0.1", 1));
    }

    @Override
    public void stopListening() {
        listening = false;
    }

    @Override
    public void listenForProbes(BooleanSupplier readiness, Supplier<String> metrics) {
        readinessProbe = readiness;
    }

    @Override
    public void close() {
        isClosed = true;
    }

    /** Collects the exceptions of timer tasks, as the platform's event loop does. */
    private record IsolatingClock(Clock delegate, List<RuntimeException> failures)
            implements Clock {
        @Override
        public long nanoTime() {
            return delegate.nanoTime();
        }

        @Override
        public Instant instant() {
            return delegate.instant();
        }

        @Override
        public Timer schedule(Runnable task, Duration delay) {
            FailureIsolation isolation = FailureIsolation.of((name, e) -> failures.add(e));
            return delegate.schedule(() -> isolation.run("timer", task), delay);
        }
    }
}
