package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class DrainRateTest {
    private static final long MILLI = 1_000_000;

    private final DrainRate rate = DrainRate.empty();

    @Test
    void shouldExpectNoWaitWhenNothingIsKnown() {
        assertThat(rate.expectedWait(7)).isZero();
    }

    @Test
    void shouldExpectWaitFromPausesWhileOthersWait() {
        for (int i = 0; i < 5; i++) {
            rate.recordGrant(i * 10 * MILLI, true);
        }

        assertThat(rate.expectedWait(6)).isEqualTo(Duration.ofMillis(60));
    }

    @Test
    void shouldIgnorePauseInWhichNobodyWaited() {
        rate.recordGrant(0, true);
        rate.recordGrant(10 * MILLI, false);
        rate.recordGrant(5_000 * MILLI, true);
        rate.recordGrant(5_010 * MILLI, false);

        assertThat(rate.expectedWait(1)).isEqualTo(Duration.ofMillis(10));
    }

    @Test
    void shouldIgnoreStall() {
        rate.recordGrant(0, true);
        rate.recordGrant(10 * MILLI, true);
        rate.recordGrant(1_010 * MILLI, true);

        assertThat(rate.expectedWait(1)).isEqualTo(Duration.ofMillis(10));
    }
}
