package org.carobstage.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.junit.jupiter.api.Test;

class InstanceEntryTest {
    @Test
    void shouldBeEarlierThanLaterHeartbeatOfSameRun() {
        assertThat(entry(100, 4).isEarlierThan(entry(100, 7))).isTrue();
        assertThat(entry(100, 7).isEarlierThan(entry(100, 7))).isFalse();
    }

    @Test
    void shouldNotBeEarlierThanEntryOfFormerRun() {
        assertThat(entry(200, 1).isEarlierThan(entry(100, 7))).isFalse();
    }

    private static InstanceEntry entry(long bornMillis, long heartbeat) {
        return new InstanceEntry(
                InstanceId.of("a"),
                ServiceName.of("forms"),
                Address.of("127.0.0.1", 1),
                FailureDomain.of("domain-a"),
                3,
                false,
                false,
                bornMillis,
                heartbeat);
    }
}
