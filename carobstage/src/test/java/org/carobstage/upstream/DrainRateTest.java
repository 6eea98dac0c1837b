package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class DrainRateTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DrainRate rate = DrainRate.empty();

    @Test
    void shouldExpectNoWaitWithoutSamples() {
        assertThat(rate.expectedWait(7)).isZero();
    }

    @Test
    void shouldEstimateWaitFromIntervalsWhileRequestsWait() {
        for (int i = 0; i < 5; i++) {
            rate.recordGrant(i * 10 * NANOS_PER_MILLI, true);
        }

        assertThat(rate.expectedWait(6)).isEqualTo(Duration.ofMillis(60));
    }

    @Test
    void shouldIgnoreIntervalInWhichNoRequestWaited() {
        rate.recordGrant(0, true);
        rate.recordGrant(10 * NANOS_PER_MILLI, false);
        rate.recordGrant(5_000 * NANOS_PER_MILLI, true);
        rate.recordGrant(5_010 * NANOS_PER_MILLI, false);

        assertThat(rate.expectedWait(1)).isEqualTo(Duration.ofMillis(10));
    }

    @Test
    void shouldIgnoreStall() {
        rate.recordGrant(0, true);
        rate.recordGrant(10 * NANOS_PER_MILLI, true);
        rate.recordGrant(1_010 * NANOS_PER_MILLI, true);

        assertThat(rate.expectedWait(1)).isEqualTo(Duration.ofMillis(10));
    }
}
