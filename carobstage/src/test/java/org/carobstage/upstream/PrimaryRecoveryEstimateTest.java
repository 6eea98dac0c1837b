package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PrimaryRecoveryEstimateTest {
    private final PrimaryRecoveryEstimate outlook = PrimaryRecoveryEstimate.atStart(0);

    @Test
    void shouldHoldStatementThatCanStillBeServedAfterPromotion() {
        outlook.onPrimaryLost(0);

        assertThat(outlook.isUnavailableUntil(millis(4_000), millis(10))).isFalse();
    }

    @Test
    void shouldGiveUpStatementWhoseDeadlinePassesDuringPromotion() {
        outlook.onPrimaryLost(0);

        assertThat(outlook.isUnavailableUntil(millis(800), millis(10))).isTrue();
        assertThat(outlook.retryAfterMessage(millis(700))).contains("retry after 1000 ms");
    }

    @Test
    void shouldGiveUpAtOnceWhenPrimaryIsOverdue() {
        outlook.onPrimaryReplaced(0);

        assertThat(outlook.isUnavailableUntil(millis(10_000), millis(600))).isFalse();
        assertThat(outlook.isUnavailableUntil(millis(10_000), millis(800))).isTrue();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
