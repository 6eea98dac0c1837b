package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.quota.QuotaPolicy;
import org.carobstage.quota.QuotaSettings;
import org.carobstage.settings.ValidationError;
import org.carobstage.settings.ValidationResult;
import org.carobstage.upstream.AdmissionOrder;
import org.junit.jupiter.api.Test;

class ProxyServerSettingsTest {
    private static final String INI_TEXT =
            """
            [vm]
            id = front-1
            domain = north
            [front]
            listen = 10.0.0.1:1
            readiness-listen = 10.0.0.1:2
            metrics-listen = 10.0.0.1:3
            [platform]
            store = 10.0.0.2:4
            orders = 10.0.0.3:5
            enforces-fencing = yes
            [stop]
            limit = 6 s
            """;

    private static final String ACCOUNTS =
            """
            [accounts]
            window = 5 s
            excess = 0.1
            slack = 20
            """;

    private static final String PEERS =
            """
            [peers]
            listen = 10.0.0.1:6
            """;

    @Test
    void shouldReadSettings() {
        ProxyServerSettings settings =
                ProxyServerSettings.validate("one.ini", INI_TEXT).value().orElseThrow();

        assertThat(settings.vm()).isEqualTo(VmId.of("front-1"));
        assertThat(settings.storeAddress()).isEqualTo(Address.of("10.0.0.2", 4));
        assertThat(settings.fencingEnforced()).isTrue();
        assertThat(settings.shutdownTimeout()).isEqualTo(Duration.ofSeconds(6));
    }

    @Test
    void shouldReportFileAndKeyOfEachError() {
        String invalid =
                INI_TEXT.replace("store = 10.0.0.2:4\n", "")
                        .replace("limit = 6 s", "limit = soon")
                        .replace("10.0.0.1:2", "nowhere");
        ValidationResult<ProxyServerSettings> result =
                ProxyServerSettings.validate("one.ini", invalid);

        assertThat(result.value()).isEmpty();
        assertThat(result.errors()).extracting(ValidationError::toString).hasSize(3);
        assertThat(result.errors().toString())
                .contains("one.ini")
                .contains("store")
                .contains("limit")
                .contains("readiness-listen");
    }

    @Test
    void shouldReadQuotaSettings() {
        QuotaSettings quota = read(INI_TEXT + ACCOUNTS + PEERS).quota().orElseThrow();

        assertThat(quota.policy()).isEqualTo(new QuotaPolicy(Duration.ofSeconds(5), 0.1, 20));
        assertThat(quota.peerAddress()).contains(Address.of("10.0.0.1", 6));
        assertThat(read(INI_TEXT + ACCOUNTS).quota().orElseThrow().peerAddress()).isEmpty();
    }

    // Without accounts, no port may be opened.
    @Test
    void shouldNotEnforceQuotasWhenThereIsNoAccountsSection() {
        assertThat(read(INI_TEXT).quota()).isEmpty();
        assertThat(read(INI_TEXT + PEERS).quota()).isEmpty();
    }

    // A default in place of a misspelt limit would not be noticed.
    @Test
    void shouldReportEachErrorOfQuotaSettings() {
        String invalid =
                INI_TEXT
                        + ACCOUNTS.replace("5 s", "5")
                                .replace("excess = 0.1", "excess = NaN")
                                .replace("slack = 20", "slak = 20")
                        + PEERS.replace("10.0.0.1", "0.0.0.0");

        assertThat(ProxyServerSettings.validate("one.ini", invalid).errors())
                .extracting(ValidationError::key)
                .containsExactlyInAnyOrder("window", "excess", "slack", "slak", "listen");
    }

    // A limit without its unit, or one that refuses every client, would be taken.
    @Test
    void shouldReadStartupLimits() {
        String keys =
                "[front]\nstartup-bytes = 512\nstartup-timeout = 2 s\nstartup-connections = 9\n";

        assertThat(read(INI_TEXT).startupLimits()).isEqualTo(StartupLimits.DEFAULT);
        assertThat(read(INI_TEXT.replace("[front]\n", keys)).startupLimits())
                .isEqualTo(new StartupLimits(512, Duration.ofSeconds(2), 9));
        String invalid = keys.replace("2 s", "2").replace("512", "5").replace("= 9", "= 0");
        assertThat(
                        ProxyServerSettings.validate(
                                        "one.ini", INI_TEXT.replace("[front]\n", invalid))
                                .errors())
                .extracting(ValidationError::key)
                .containsExactlyInAnyOrder(
                        "startup-bytes", "startup-timeout", "startup-connections");
    }

    private static ProxyServerSettings read(String text) {
        return ProxyServerSettings.validate("one.ini", text).value().orElseThrow();
    }

    // Guards against a misspelt order that silently leaves the default in force.
    @Test
    void shouldReadAdmissionOrderAndReportUnknownOne() {
        assertThat(ProxyServerSettings.validate("one.ini", INI_TEXT).value().get().admissionOrder())
                .isEqualTo(AdmissionOrder.DEADLINE);
        String byPriority = INI_TEXT + "[admission]\norder = priority\n";
        assertThat(
                        ProxyServerSettings.validate("one.ini", byPriority)
                                .value()
                                .get()
                                .admissionOrder())
                .isEqualTo(AdmissionOrder.PRIORITY);
        assertThat(
                        ProxyServerSettings.validate(
                                        "one.ini", byPriority.replace("priority", "prio"))
                                .errors())
                .hasSize(1);
    }
}
