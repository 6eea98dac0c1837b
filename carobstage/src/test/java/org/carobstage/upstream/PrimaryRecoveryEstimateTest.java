package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PrimaryRecoveryEstimateTest {
    private final PrimaryRecoveryEstimate estimate = PrimaryRecoveryEstimate.atStart(0);

    @Test
    void shouldKeepStatementWhoseDeadlineIsAfterPromotion() {
        estimate.onPrimaryLost(0);

        assertThat(estimate.isUnavailableUntil(millis(4_000), millis(10))).isFalse();
    }

    @Test
    void shouldRejectStatementWhoseDeadlinePassesDuringPromotion() {
        estimate.onPrimaryLost(0);

        assertThat(estimate.isUnavailableUntil(millis(800), millis(10))).isTrue();
        assertThat(estimate.retryAfterMessage(millis(700))).contains("retry after 1000 ms");
    }

    @Test
    void shouldRejectStatementAtOnceWhenPrimaryIsOverdue() {
        estimate.onPrimaryReplaced(0);

        assertThat(estimate.isUnavailableUntil(millis(10_000), millis(600))).isFalse();
        assertThat(estimate.isUnavailableUntil(millis(10_000), millis(800))).isTrue();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
