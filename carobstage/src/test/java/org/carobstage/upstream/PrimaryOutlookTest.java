package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PrimaryOutlookTest {
    private final PrimaryOutlook outlook = PrimaryOutlook.atStart(0);

    @Test
    void shouldHoldStatementThatCanStillBeServedAfterPromotion() {
        outlook.primaryLost(0);

        assertThat(outlook.isTooLate(millis(4_000), millis(10))).isFalse();
    }

    @Test
    void shouldGiveUpStatementWhoseDeadlinePassesDuringPromotion() {
        outlook.primaryLost(0);

        assertThat(outlook.isTooLate(millis(800), millis(10))).isTrue();
        assertThat(outlook.describe(millis(700))).contains("retry after 1000 ms");
    }

    @Test
    void shouldGiveUpAtOnceWhenPrimaryIsOverdue() {
        outlook.primaryReplaced(0);

        assertThat(outlook.isTooLate(millis(10_000), millis(600))).isFalse();
        assertThat(outlook.isTooLate(millis(10_000), millis(800))).isTrue();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
