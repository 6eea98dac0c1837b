package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.carobstage.route.Consistency;
import org.carobstage.route.Route;
import org.carobstage.route.RouteTable;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UnnamedServiceTest {
    private final FakePlatformAdapter adapter = new FakePlatformAdapter();

    @BeforeEach
    void start() {
        adapter.routeTable = ProxyServerTest.routes(1, "drafts");
        adapter.store.put("routes", "1");
        adapter.service.instances().forEach(i -> adapter.store.put("instances/" + i.id(), "1"));
        ProxyServer.launch(ProxyServerTest.SETTINGS, adapter);
        adapter.clock.advance(Duration.ofSeconds(5));
    }

    // An entry that names a primary of a service that does not exist began a failover without end.
    @Test
    void shouldCallStoreNoMoreWhenEntryNamesPrimaryOfUnknownService() {
        long before = callsPerMinute();
        adapter.instanceEntries.put("odd", entry("odd", "unknown", 9));
        adapter.store.put("instances/odd", "1");

        assertThat(callsPerMinute()).isLessThanOrEqualTo(before + 5);
    }

    // Instances of a new service may register before the operator writes the configuration.
    @Test
    void shouldUseInstancesOnceConfigurationNamesTheirService() {
        Map<String, InstanceEntry> moved = adapter.instanceEntries;
        adapter.service
                .instances()
                .forEach(
                        i -> {
                            InstanceEntry known = adapter.service.instanceEntry(i.id().value());
                            moved.put(i.id().value(), withService(known, "later"));
                            adapter.store.put("instances/" + i.id(), "2");
                        });
        adapter.clock.advance(Duration.ofSeconds(10));
        adapter.routeTable = routes(2, "filings", "later");
        adapter.store.put("routes", "2");
        adapter.clock.advance(Duration.ofSeconds(5));
        RecordingChannel channel = new RecordingChannel();
        adapter.connect("filings", channel).orElseThrow().receive("r1", new Statement.Read("k"));
        adapter.clock.advance(Duration.ofSeconds(1));

        assertThat(channel.results).singleElement().matches(r -> r.isSuccessful());
    }

    private long callsPerMinute() {
        FakeMetadataStore.Client client = (FakeMetadataStore.Client) adapter.metadataStore();
        int before = client.callCount();
        adapter.clock.advance(Duration.ofSeconds(60));
        return client.callCount() - before;
    }

    private static InstanceEntry entry(String id, String service, int port) {
        return new InstanceEntry(
                InstanceId.of(id),
                ServiceName.of(service),
                Address.of("127.0.0.1", port),
                FailureDomain.of("domain-b"),
                3,
                false,
                true,
                1,
                1);
    }

    private static InstanceEntry withService(InstanceEntry entry, String service) {
        return new InstanceEntry(
                entry.id(),
                ServiceName.of(service),
                entry.address(),
                entry.domain(),
                entry.slots(),
                entry.draining(),
                entry.primary(),
                entry.bornMillis(),
                entry.heartbeat());
    }

    private static RouteTable routes(long version, String database, String service) {
        Route route =
                new Route(
                        database,
                        ServiceName.of(service),
                        Consistency.PRIMARY,
                        Duration.ZERO,
                        Duration.ofMillis(800),
                        Duration.ofMillis(250),
                        0);
        return new RouteTable(
                version,
                Map.of(database, route),
                Map.of(ServiceName.of(service), 22),
                Duration.ofSeconds(3));
    }
}
