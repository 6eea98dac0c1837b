package org.carobstage.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.carobstage.model.VmId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    private static final String MINIMAL_SETTINGS =
            """
            [vm]
            id = one
            domain = caruaru
            [caller]
            listen = 127.0.0.1:0
            [operator]
            listen = 127.0.0.1:0
            key = an-operator-key-for-tests
            [platform]
            address = 127.0.0.1:9
            [session]
            token-key = a-token-key-for-tests
            """;

    @Nested
    class Validate {
        @Test
        void shouldApplyDefaultsWhenOptionalKeysAreMissing() {
            Settings settings =
                    SettingsReader.validate("one.ini", MINIMAL_SETTINGS).value().orElseThrow();

            assertThat(settings.vm().id()).isEqualTo(VmId.of("one"));
            assertThat(settings.shutdown().drainTimeout()).isEqualTo(Duration.ofSeconds(30));
            assertThat(settings.toString()).doesNotContain("for-tests");
        }

        @Test
        void shouldReportLineSectionAndKeyOfEachErrorWhenThereAreSeveral() {
            String text =
                    """
                    [vm]
                    domain = caruaru
                    entry-vms = 0
                    [caller]
                    listen = nowhere
                    idle-timeout = 5
                    colour = red
                    [operator]
                    listen = 127.0.0.1:0
                    key = short
                    [platform]
                    address = 127.0.0.1:99999
                    [peers]
                    listen = 127.0.0.1:0
                    [vm]
                    """;

            assertThat(SettingsReader.validate("one.ini", text).errors())
                    .extracting(ValidationError::toString)
                    .containsExactlyInAnyOrder(
                            "one.ini:15: [vm]: duplicate section",
                            "one.ini:1: [vm] id: missing",
                            "one.ini:3: [vm] entry-vms: out of range: 0 is not in 1 to 10000",
                            "one.ini:5: [caller] listen: not host:port: nowhere",
                            "one.ini:6: [caller] idle-timeout: not a duration with a unit: 5",
                            "one.ini:7: [caller] colour: unknown key",
                            "one.ini:10: [operator] key: shorter than 16 characters",
                            "one.ini:12: [platform] address: port is out of range: 99999",
                            "one.ini:13: [peers]: unknown section",
                            "one.ini: [session]: exactly one of token-key and token-keys-file"
                                    + " is required");
        }

        @Test
        void shouldReportLineWhenTextIsNotIni() {
            assertThat(SettingsReader.validate("x", "a = b\n[vm]\nwhat\n").errors())
                    .extracting(ValidationError::toString)
                    .contains(
                            "x:1: a: key outside of a section",
                            "x:3: [vm]: expected [section] or key = value");
        }
    }
}
