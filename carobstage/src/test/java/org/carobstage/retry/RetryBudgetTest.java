package org.carobstage.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    @Nested
    class TryWithdraw {
        @Test
        void shouldAllowRetriesForTenPercentOfFirstAttemptsWhenAllFail() {
            RetryBudget budget = RetryBudget.of(0);

            long retries = IntStream.range(0, 1_000).filter(i -> failAndRetry(budget)).count();

            assertThat(retries).isBetween(100L, 110L);
        }

        @Test
        void shouldAllowOneRetryPerSecondWhenThereIsNoTraffic() {
            RetryBudget budget = RetryBudget.of(0);
            IntStream.range(0, 10).forEach(i -> budget.tryWithdraw(0));

            assertThat(budget.tryWithdraw(0)).isFalse();
            assertThat(budget.tryWithdraw(Duration.ofSeconds(1).toNanos())).isTrue();
            assertThat(budget.tryWithdraw(Duration.ofSeconds(1).toNanos())).isFalse();
        }

        private boolean failAndRetry(RetryBudget budget) {
            budget.deposit();
            return budget.tryWithdraw(0);
        }
    }

    @Nested
    class Delay {
        @Test
        void shouldDoubleUpToMaxDelayWithJitter() {
            Duration initialDelay = Duration.ofMillis(10);
            Duration maxDelay = Duration.ofMillis(80);
            Backoff backoff = new Backoff(initialDelay, maxDelay, new SplittableRandom(7));

            assertThat(backoff.delay(1)).isBetween(initialDelay.dividedBy(2), initialDelay);
            assertThat(backoff.delay(3)).isBetween(Duration.ofMillis(20), Duration.ofMillis(40));
            assertThat(backoff.delay(99)).isBetween(maxDelay.dividedBy(2), maxDelay);
        }
    }
}
