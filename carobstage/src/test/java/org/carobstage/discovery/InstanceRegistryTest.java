package org.carobstage.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.carobstage.fake.FakeService;
import org.carobstage.model.InstanceId;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Test;

class InstanceRegistryTest {
    private final InstanceEntry entry =
            FakeService.of(ManualClock.of(java.time.Instant.EPOCH)).instanceEntry("a");
    private final InstanceRegistry registry = InstanceRegistry.empty();

    @Test
    void shouldKeepEntryWhenItReturnsWithinGracePeriod() {
        registry.put(entry);
        registry.markMissing(entry.id(), seconds(1));
        registry.put(entry);

        assertThat(registry.expire(seconds(10))).isEmpty();
        assertThat(registry.find(entry.id())).contains(entry);
    }

    @Test
    void shouldRemoveEntryWhenGracePeriodElapses() {
        registry.put(entry);
        registry.markMissing(entry.id(), seconds(1));

        assertThat(registry.expire(seconds(3))).isEmpty();
        assertThat(registry.expire(seconds(4))).containsExactly(entry);
        assertThat(registry.entries()).isEmpty();
    }

    @Test
    void shouldRestartGracePeriodAfterStoreOutage() {
        registry.put(entry);
        registry.markMissing(entry.id(), seconds(1));
        registry.restartGracePeriod(seconds(9));

        assertThat(registry.expire(seconds(11))).isEmpty();
        assertThat(registry.expire(seconds(12))).containsExactly(entry);
    }

    @Test
    void shouldIgnoreMissingMarkOfUnknownInstance() {
        registry.markMissing(InstanceId.of("unknown"), 0);

        assertThat(registry.expire(seconds(10))).isEmpty();
    }

    // An earlier entry of a restored store replaces the newer one until the next heartbeat.
    @Test
    void shouldTakeEarlierEntryOfSameRunAsOutdated() {
        registry.put(withHeartbeat(9));

        assertThat(registry.isOutdated(withHeartbeat(5))).isTrue();
        assertThat(registry.isOutdated(withHeartbeat(5))).isTrue();
        assertThat(registry.isOutdated(withHeartbeat(10))).isFalse();
    }

    // One odd entry with a huge heartbeat: every later entry of the instance was ignored.
    @Test
    void shouldTakeAdvancingEntriesAsCurrentWhenKnownHeartbeatIsTooLarge() {
        registry.put(withHeartbeat(Long.MAX_VALUE));

        assertThat(registry.isOutdated(withHeartbeat(5))).isTrue();
        assertThat(registry.isOutdated(withHeartbeat(6))).isFalse();
        registry.put(withHeartbeat(6));
        assertThat(registry.isOutdated(withHeartbeat(7))).isFalse();
    }

    private InstanceEntry withHeartbeat(long heartbeat) {
        return new InstanceEntry(
                entry.id(),
                entry.service(),
                entry.address(),
                entry.domain(),
                entry.slots(),
                entry.draining(),
                entry.primary(),
                entry.bornMillis(),
                heartbeat);
    }

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }
}
