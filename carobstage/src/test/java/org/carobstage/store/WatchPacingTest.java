package org.carobstage.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a storm of watch calls when hundreds of processes join within seconds. */
class WatchPacingTest {
    private final WatchPacing pacing = WatchPacing.of(0);

    @Test
    void shouldDelayCallsThatFollowEachOther() {
        assertThat(callsWithin(0, 4_000, true)).isLessThanOrEqualTo(35);
    }

    // 34 processes and 18 instances that register within 6 s complete the watch of every process
    // with each entry: 1,700 calls of a fleet, of 2,300 in 50 s.
    @Test
    void shouldCombineChangesWhenFleetRegisters() {
        assertThat(callsWithin(0, 6_000, false)).isLessThanOrEqualTo(27);
    }

    // A vote that is seen a second late delays the failover of a service by as much.
    @Test
    void shouldSeeChangesWithin200MillisWhenFailoverIsInProgress() {
        callsWithin(0, 4_000, false);

        assertThat(pacing.nextDelay(millis(4_000), true))
                .isLessThanOrEqualTo(Duration.ofMillis(200));
    }

    @Test
    void shouldNotDelaySingleCallAfterPause() {
        callsWithin(0, 4_000, false);

        assertThat(pacing.nextDelay(millis(7_000), false)).isEqualTo(Duration.ofMillis(40));
    }

    private int callsWithin(long startMillis, long endMillis, boolean failover) {
        int calls = 0;
        long now = startMillis;
        while (now < endMillis) {
            now += pacing.nextDelay(millis(now), failover).toMillis();
            calls++;
        }
        return calls;
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
