package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobstage.account.AccountTable;
import org.carobstage.account.ClientAccount;
import org.carobstage.account.RateLimit;
import org.carobstage.error.CodedException;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.FakeService;
import org.carobstage.model.AccountName;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.carobstage.quota.QuotaPolicy;
import org.carobstage.quota.QuotaSettings;
import org.carobstage.route.Consistency;
import org.carobstage.route.Route;
import org.carobstage.route.RouteTable;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.AdmissionOrder;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ProxyServerTest {
    private static final Address ANY_ADDRESS = Address.of("127.0.0.1", 0);
    private static final Statement READ = new Statement.Read("k");

    static final ProxyServerSettings SETTINGS =
            new ProxyServerSettings(
                    VmId.of("vm"),
                    FailureDomain.of("domain-b"),
                    ANY_ADDRESS,
                    ANY_ADDRESS,
                    ANY_ADDRESS,
                    ANY_ADDRESS,
                    ANY_ADDRESS,
                    false,
                    Duration.ofSeconds(6));

    private static final ProxyServerSettings SETTINGS_WITH_QUOTA =
            new ProxyServerSettings(
                    VmId.of("vm"),
                    FailureDomain.of("domain-b"),
                    ANY_ADDRESS,
                    ANY_ADDRESS,
                    ANY_ADDRESS,
                    ANY_ADDRESS,
                    ANY_ADDRESS,
                    false,
                    Duration.ofSeconds(6),
                    Optional.of(
                            new QuotaSettings(QuotaPolicy.standard(), Optional.of(ANY_ADDRESS))),
                    AdmissionOrder.DEADLINE,
                    StartupLimits.DEFAULT);

    private final FakePlatformAdapter adapter = new FakePlatformAdapter();
    private ProxyServer server;

    @BeforeEach
    void start() {
        adapter.routeTable = routes(1, "drafts");
        adapter.store.put("routes", "1");
        adapter.service.instances().forEach(i -> adapter.store.put("instances/" + i.id(), "1"));
        server = ProxyServer.launch(SETTINGS, adapter);
        adapter.clock.advance(Duration.ofSeconds(1));
    }

    @Test
    void shouldBeReadyWhenRoutesAndInstancesAreKnown() {
        assertThat(adapter.isReady()).isTrue();
    }

    // An exception in one tick ended all later ones, so that no failover was ever started again.
    @Test
    void shouldReplacePrimaryWhenEarlierTickEndedWithUnexpectedException() {
        adapter.isConnectorFaulty = true;
        adapter.service.instances().forEach(FakeInstance::crash);
        adapter.clock.advance(Duration.ofSeconds(1));
        adapter.isConnectorFaulty = false;
        adapter.service.instances().forEach(FakeInstance::recover);
        adapter.clock.advance(Duration.ofSeconds(5));
        adapter.service.primary().orElseThrow().crash();
        adapter.clock.advance(Duration.ofSeconds(10));
        RecordingChannel channel = new RecordingChannel();
        adapter.connect("drafts", channel)
                .orElseThrow()
                .receive("r1", new Statement.Write("k", "data"));
        adapter.clock.advance(Duration.ofMillis(500));

        assertThat(channel.results).singleElement().matches(r -> r.isSuccessful());
    }

    @Test
    void shouldServeNewRouteWhenStoreEntryChanges() {
        adapter.routeTable = routes(2, "filings");
        adapter.store.put("routes", "2");
        adapter.clock.advance(Duration.ofMillis(200));
        RecordingChannel channel = new RecordingChannel();
        adapter.connect("filings", channel);

        assertThat(channel.isReady).isTrue();
    }

    @Test
    void shouldKeepNewerRoutesWhenStoreReturnsOlderVersion() {
        adapter.routeTable = routes(2, "filings");
        adapter.store.put("routes", "2");
        adapter.clock.advance(Duration.ofMillis(200));
        adapter.routeTable = routes(1, "drafts");
        adapter.store.put("routes", "1");
        adapter.clock.advance(Duration.ofMillis(200));
        RecordingChannel channel = new RecordingChannel();
        adapter.connect("filings", channel);

        assertThat(channel.isReady).isTrue();
    }

    @Test
    void shouldKeepServingWhenRestoredStoreLacksRoutesAndInstances() {
        adapter.store.restore();
        adapter.clock.advance(Duration.ofMillis(1_000));
        RecordingChannel channel = new RecordingChannel();
        ClientSession session = adapter.connect("drafts", channel).orElseThrow();
        session.receive("r1", READ);
        adapter.clock.advance(Duration.ofMillis(100));

        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "carobstage/members/",
                "carobstage/votes//vm",
                "carobstage/votes/forms/",
                "carobstage/failover/",
                "carobstage/promotions/"
            })
    void shouldIgnoreMalformedKey(String key) {
        adapter.store.put(key, " ");
        adapter.clock.advance(Duration.ofMillis(500));
        adapter.routeTable = routes(2, "filings");
        adapter.store.put("routes", "2");
        adapter.clock.advance(Duration.ofMillis(500));
        RecordingChannel channel = new RecordingChannel();
        adapter.connect("filings", channel);

        assertThat(channel.isReady).isTrue();
    }

    @Test
    void shouldEndWithErrorWhenClientAddressIsInUse() {
        FakePlatformAdapter other = new FakePlatformAdapter();
        other.isAddressInUse = true;
        ProxyServer failing = ProxyServer.launch(SETTINGS, other);
        other.clock.advance(Duration.ofMillis(100));

        assertThatThrownBy(failing::awaitStop)
                .isInstanceOf(CodedException.class)
                .hasMessageContaining("can't listen for clients");
    }

    @Test
    void shouldReportNotReadyAtOnceWhenStopping() {
        server.stop();

        assertThat(adapter.isReady()).isFalse();
    }

    /**
     * A client may connect at any time during a shutdown, also when the last session just closed.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1_000, 2_000, 2_900, 2_960, 2_990, 3_000, 3_010, 3_040, 3_060, 3_100})
    void shouldExecuteStatementOfEveryClientAcceptedWhileStopping(int delayMillis) {
        server.stop();
        adapter.clock.advance(Duration.ofMillis(delayMillis));
        RecordingChannel channel = new RecordingChannel();
        Optional<ClientSession> session = adapter.connect("drafts", channel);
        session.ifPresent(s -> s.receive("r", READ));
        boolean stopped = server.isStopped();
        for (int i = 0; i < 100 && channel.results.isEmpty(); i++) {
            stopped |= server.isStopped();
            adapter.clock.advance(Duration.ofMillis(1));
        }

        assertThat(session.isEmpty() || !channel.results.isEmpty() && !stopped).isTrue();
    }

    @Test
    void shouldNotEndWhileStatementIsInProgress() {
        adapter.service.instances().forEach(i -> i.setStatementDuration(Duration.ofMillis(700)));
        server.stop();
        adapter.clock.advance(Duration.ofMillis(2_990));
        RecordingChannel channel = new RecordingChannel();
        ClientSession session = adapter.connect("drafts", channel).orElseThrow();
        session.receive("r", READ);
        adapter.clock.advance(Duration.ofMillis(400));

        assertThat(channel.results).isEmpty();
        assertThat(server.isStopped()).isFalse();
    }

    @Test
    void shouldStopEarlyWhenThereAreNoSessions() {
        server.stop();
        adapter.clock.advance(Duration.ofMillis(3_500));

        assertThat(server.isStopped()).isTrue();
    }

    @Test
    void shouldStopWithinTimeoutWhenClientsStayConnected() throws InterruptedException {
        RecordingChannel channel = new RecordingChannel();
        ClientSession session = adapter.connect("drafts", channel).orElseThrow();
        session.receive("r1", new Statement.Begin(false));
        server.stop();
        adapter.clock.advance(Duration.ofSeconds(6));

        server.awaitStop();
    }

    // A deployment without accounts must behave as before they existed.
    @Test
    void shouldOpenNoPeerPortWhenAccountsAreNotEnabled() {
        adapter.clock.advance(Duration.ofSeconds(9));

        assertThat(adapter.peers.listenerCount()).isZero();
        assertThat(adapter.store.keys("carobstage/quota/")).isEmpty();
    }

    // Other processes use smaller shares for 3 s if a stopping process keeps its shards.
    @Test
    void shouldHandQuotaShardsOverAtOnceWhenStopping() {
        RouteTable table = routes(2, "drafts");
        ClientAccount account =
                new ClientAccount(
                        AccountName.of("a"), Set.of(), 0, Optional.of(new RateLimit(5, 5)));
        adapter.routeTable =
                new RouteTable(
                        2,
                        table.routes(),
                        table.connectionLimits(),
                        Duration.ofSeconds(3),
                        Optional.of(AccountTable.of(List.of(account))));
        adapter.store.put("routes", "2");
        ProxyServer limited = ProxyServer.launch(SETTINGS_WITH_QUOTA, adapter);
        adapter.clock.advance(Duration.ofSeconds(8));
        assertThat(adapter.store.keys("carobstage/quota/")).hasSize(4);
        limited.stop();
        adapter.clock.advance(Duration.ofMillis(20));

        assertThat(adapter.store.keys("carobstage/quota/")).isEmpty();
        assertThat(limited.isStopped()).isFalse();
    }

    static RouteTable routes(long version, String database) {
        Route route =
                new Route(
                        database,
                        FakeService.NAME,
                        Consistency.BOUNDED_STALENESS,
                        Duration.ofMillis(1_500),
                        Duration.ofMillis(800),
                        Duration.ofMillis(250),
                        1);
        return new RouteTable(
                version,
                Map.of(database, route),
                Map.of(FakeService.NAME, 22),
                Duration.ofSeconds(3));
    }
}
