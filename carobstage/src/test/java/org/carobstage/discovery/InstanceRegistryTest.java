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
    private final InstanceRegistry directory = InstanceRegistry.empty();

    @Test
    void shouldKeepEntryWhenItIsBackWithinGrace() {
        directory.put(entry);
        directory.markMissing(entry.id(), seconds(1));
        directory.put(entry);

        assertThat(directory.expire(seconds(10))).isEmpty();
        assertThat(directory.find(entry.id())).contains(entry);
    }

    @Test
    void shouldDropEntryWhenItStaysMissing() {
        directory.put(entry);
        directory.markMissing(entry.id(), seconds(1));

        assertThat(directory.expire(seconds(3))).isEmpty();
        assertThat(directory.expire(seconds(4))).containsExactly(entry);
        assertThat(directory.entries()).isEmpty();
    }

    @Test
    void shouldWaitAnewWhenStoreWasAway() {
        directory.put(entry);
        directory.markMissing(entry.id(), seconds(1));
        directory.restartGracePeriod(seconds(9));

        assertThat(directory.expire(seconds(11))).isEmpty();
        assertThat(directory.expire(seconds(12))).containsExactly(entry);
    }

    @Test
    void shouldIgnoreRemovalOfUnknownInstance() {
        directory.markMissing(InstanceId.of("unknown"), 0);

        assertThat(directory.expire(seconds(10))).isEmpty();
    }

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }
}
