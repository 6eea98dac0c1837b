package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.carobstage.quota.QuotaPolicy;
import org.carobstage.quota.QuotaSettings;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.AdmissionOrder;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A process in memory, and entries under its own keys that no process of any build writes. */
class OddStoreEntryTest {
    private static final Address ANY_ADDRESS = Address.of("127.0.0.1", 0);
    private static final int MEGABYTE = 1 << 20;

    private static final List<String> KEYS =
            List.of(
                    "carobstage/members/vm-x",
                    "carobstage/votes/forms/vm-x",
                    "carobstage/votes/forms/vm",
                    "carobstage/failover/forms",
                    "carobstage/promotions/forms",
                    "carobstage/replicas/forms",
                    "carobstage/quota/0",
                    "carobstage/quota/99999999999999999999",
                    "carobstage/quota-members/vm-x",
                    "carobstage/other");

    private static final List<String> VALUES =
            List.of(
                    "",
                    " ",
                    " x",
                    "\u0000",
                    "\uD800",
                    "\uFFFD",
                    "null",
                    "[]",
                    "1e400",
                    "9".repeat(400),
                    "[".repeat(10_000),
                    "{\"a\":".repeat(MEGABYTE / 5),
                    "a ".repeat(MEGABYTE / 2),
                    "a ".repeat(MEGABYTE / 2) + "a",
                    "a".repeat(MEGABYTE),
                    "i 9223372036854775807 9223372036854775807",
                    "i -1 -1",
                    "vm-x run 9223372036854775807",
                    "{\"run\":\"r\",\"stage\":" + "[".repeat(10_000),
                    "{\"run\":\"r\",\"stage\":\"NEW\",\"stage\":\"OTHER\"}",
                    "{\"vm\":\"x\",\"run\":\"r\",\"era\":1e400,\"lease\":1,\"peer\":\"::1:1\"}",
                    "{\"vm\":\"x\",\"run\":\"r\",\"era\":0,\"lease\":-1,\"peer\":\"::1:70000\"}",
                    "{\"vm\":\"\",\"run\":\"r\",\"era\":0,\"lease\":1,\"peer\":\"::1:1\"}");

    private final FakePlatformAdapter adapter = new FakePlatformAdapter();

    @BeforeEach
    void start() {
        adapter.routeTable = ProxyServerTest.routes(1, "drafts");
        adapter.store.put("routes", "1");
        adapter.service.instances().forEach(i -> adapter.store.put("instances/" + i.id(), "1"));
    }

    // An entry that can't be read ended the watch: later configurations were never applied.
    @ParameterizedTest
    @MethodSource("oddEntries")
    void shouldApplyLaterRoutesWhenOwnKeyHasOddValue(String key, int valueIndex) {
        launch();
        adapter.store.put(key, VALUES.get(valueIndex));
        adapter.clock.advance(Duration.ofMillis(500));

        assertThatLaterRoutesAreServed();
    }

    // Every process that starts lists the entry again.
    @Test
    void shouldStartWhenAllOwnKeysHaveOddValues() {
        KEYS.forEach(key -> adapter.store.put(key, VALUES.get(KEYS.indexOf(key))));
        adapter.store.put("carobstage/replicas/forms", "a ".repeat(MEGABYTE / 2) + "a");
        launch();

        assertThatLaterRoutesAreServed();
    }

    static Stream<Arguments> oddEntries() {
        return KEYS.stream()
                .flatMap(
                        key ->
                                Stream.iterate(0, i -> i < VALUES.size(), i -> i + 1)
                                        .map(i -> Arguments.of(key, i)));
    }

    private void launch() {
        ProxyServer.launch(
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
                                new QuotaSettings(
                                        QuotaPolicy.standard(), Optional.of(ANY_ADDRESS))),
                        AdmissionOrder.DEADLINE,
                        StartupLimits.DEFAULT),
                adapter);
        adapter.clock.advance(Duration.ofSeconds(1));
    }

    private void assertThatLaterRoutesAreServed() {
        adapter.routeTable = ProxyServerTest.routes(2, "filings");
        adapter.store.put("routes", "2");
        adapter.clock.advance(Duration.ofMillis(500));
        RecordingChannel channel = new RecordingChannel();
        adapter.connect("filings", channel).orElseThrow().receive("r1", new Statement.Read("k"));
        adapter.clock.advance(Duration.ofMillis(500));

        assertThat(channel.results).singleElement().matches(r -> r.isSuccessful());
        assertThat(adapter.callbackFailures).isEmpty();
    }
}
