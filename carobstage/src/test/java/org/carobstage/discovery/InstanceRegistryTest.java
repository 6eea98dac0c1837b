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

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }
}
