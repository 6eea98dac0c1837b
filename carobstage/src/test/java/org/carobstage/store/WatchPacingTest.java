package org.carobstage.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a storm of watch calls when hundreds of processes join within seconds. */
class WatchPacingTest {
    private final WatchPacing pacing = WatchPacing.of(0);

    @Test
    void shouldDelayCallsThatFollowEachOther() {
        assertThat(callsWithin(0, 4_000)).isLessThanOrEqualTo(35);
    }

    @Test
    void shouldNotDelaySingleCallAfterPause() {
        callsWithin(0, 4_000);

        assertThat(pacing.nextDelay(millis(7_000))).isEqualTo(Duration.ofMillis(40));
    }

    private int callsWithin(long startMillis, long endMillis) {
        int calls = 0;
        long now = startMillis;
        while (now < endMillis) {
            now += pacing.nextDelay(millis(now)).toMillis();
            calls++;
        }
        return calls;
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
