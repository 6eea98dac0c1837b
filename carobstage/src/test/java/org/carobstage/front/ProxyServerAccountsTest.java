package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobstage.account.AccountTable;
import org.carobstage.account.ApiKey;
import org.carobstage.account.ClientAccount;
import org.carobstage.fake.FakeService;
import org.carobstage.model.AccountName;
import org.carobstage.route.Consistency;
import org.carobstage.route.Route;
import org.carobstage.route.RouteTable;
import org.carobstage.sql.FailureCode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ProxyServerAccountsTest {
    private final FakePlatformAdapter adapter = new FakePlatformAdapter();
    private final RecordingChannel channel = new RecordingChannel();

    @BeforeEach
    void start() {
        write(1, "k1");
        adapter.service.instances().forEach(i -> adapter.store.put("instances/" + i.id(), "1"));
        ProxyServer.launch(ProxyServerTest.SETTINGS, adapter);
        adapter.clock.advance(Duration.ofSeconds(1));
    }

    // A key that nobody holds must open no session.
    @Test
    void shouldRejectUnknownKeyAfterWaitingForIt() {
        adapter.connect("drafts", "k2", channel);
        adapter.clock.advance(Duration.ofMillis(299));
        assertThat(channel.rejections).isEmpty();
        adapter.clock.advance(Duration.ofMillis(51));

        assertThat(channel.rejections)
                .extracting(failure -> failure.code())
                .containsExactly(FailureCode.UNAUTHORIZED);
        assertThat(channel.rejections.get(0).message()).doesNotContain("k2");
    }

    // A client may use its new key before this process has read the configuration.
    @Test
    void shouldOpenSessionWhenKeyIsAddedWhileItWaits() {
        adapter.connect("drafts", "k2", channel);
        adapter.clock.advance(Duration.ofMillis(100));
        write(2, "k2");
        adapter.clock.advance(Duration.ofMillis(200));

        assertThat(channel.isReady).isTrue();
    }

    // A newer configuration must end the sessions of a removed key within 5 s.
    @Test
    void shouldEndSessionWhenItsKeyIsRemoved() {
        adapter.connect("drafts", "k1", channel);
        write(2, "k2");
        adapter.clock.advance(Duration.ofMillis(200));

        assertThat(channel.isClosed).isTrue();
    }

    // A late write of an older version must not bring a removed key back.
    @Test
    void shouldRejectRemovedKeyWhenStoreReturnsOlderVersion() {
        write(2, "k2");
        adapter.clock.advance(Duration.ofMillis(200));
        write(1, "k1");
        adapter.clock.advance(Duration.ofMillis(200));

        assertRejected("k1");
    }

    // A copy of the store may hold a key that was removed after it was made.
    @Test
    void shouldRejectRemovedKeyWhenStoreIsRestoredFromCopyThatHoldsIt() {
        adapter.store.copy();
        write(2, "k2");
        adapter.clock.advance(Duration.ofMillis(200));
        adapter.store.restore();
        adapter.clock.advance(Duration.ofSeconds(4));

        assertThat(adapter.store.get("routes")).contains("1");
        assertRejected("k1");
    }

    // A process that starts must not learn an earlier configuration than the store holds.
    @Test
    void shouldRejectRemovedKeyAfterRestart() {
        write(2, "k2");
        adapter.clock.advance(Duration.ofMillis(200));
        ProxyServer.launch(ProxyServerTest.SETTINGS, adapter);
        adapter.clock.advance(Duration.ofSeconds(1));

        assertRejected("k1");
    }

    // A process without a configuration must reject no key as unknown.
    @Test
    void shouldReportBusyWhenNoConfigurationWasRead() {
        FakePlatformAdapter empty = new FakePlatformAdapter();
        ProxyServer.launch(ProxyServerTest.SETTINGS, empty);
        empty.clock.advance(Duration.ofMillis(100));
        empty.connect("drafts", "k1", channel);
        empty.clock.advance(Duration.ofMillis(1_600));

        assertThat(channel.rejections)
                .extracting(failure -> failure.code())
                .containsExactly(FailureCode.BUSY);
    }

    private void assertRejected(String key) {
        RecordingChannel rejected = new RecordingChannel();
        adapter.connect("drafts", key, rejected);
        adapter.clock.advance(Duration.ofMillis(400));
        assertThat(rejected.isReady).isFalse();
        assertThat(rejected.rejections).hasSize(1);
    }

    private void write(long version, String key) {
        Route route =
                new Route(
                        "drafts",
                        FakeService.NAME,
                        Consistency.BOUNDED_STALENESS,
                        Duration.ofMillis(1_500),
                        Duration.ofMillis(800),
                        Duration.ofMillis(250),
                        1);
        ClientAccount account =
                new ClientAccount(
                        AccountName.of("paper"), Set.of(ApiKey.of(key)), 0, Optional.empty());
        adapter.routeTables.put(
                String.valueOf(version),
                new RouteTable(
                        version,
                        Map.of("drafts", route),
                        Map.of(FakeService.NAME, 22),
                        Duration.ofSeconds(3),
                        Optional.of(AccountTable.of(Set.of(account)))));
        adapter.store.put("routes", String.valueOf(version));
    }
}
