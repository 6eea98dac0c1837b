package org.carobstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.LongStream;
import org.carobstage.account.RateLimit;
import org.junit.jupiter.api.Test;

class TokenBucketTest {
    private static final long SECOND = 1_000_000_000L;

    // Guards against rounding errors that add up over many refills.
    @Test
    void shouldNotDriftWhenRefilledOften() {
        TokenBucket bucket = TokenBucket.empty(new RateLimit(1.6, 10), 0);
        long step = 1_234_567;
        long taken = LongStream.range(0, 10_000_000).map(i -> bucket.take(5, i * step)).sum();
        assertThat((double) taken).isBetween(10e6 * step * 1.6e-9 - 2, 10e6 * step * 1.6e-9 + 1);
    }

    // Guards against an overflow after a long idle time.
    @Test
    void shouldHoldItsBurstWhenIdleForLong() {
        TokenBucket bucket = TokenBucket.empty(new RateLimit(1e6, 7.5), -Long.MAX_VALUE / 2);
        assertThat(bucket.take(Integer.MAX_VALUE, Long.MAX_VALUE / 2)).isEqualTo(7);
        assertThat(bucket.take(-3, Long.MAX_VALUE / 2)).isZero();
        assertThat(bucket.level()).isLessThan(1);
    }

    // Guards against a division by a rate of zero and against tokens for it.
    @Test
    void shouldPermitNothingWhenRateIsZero() {
        TokenBucket bucket = TokenBucket.empty(new RateLimit(0, 0), 0);
        assertThat(bucket.take(1, 1_000 * SECOND)).isZero();
        assertThat(bucket.untilNext(1_000 * SECOND)).isEqualTo(TokenBucket.LONGEST_WAIT);
    }

    // Guards against a limit without a burst that permits nothing.
    @Test
    void shouldPermitRateWhenBurstIsZero() {
        TokenBucket bucket = TokenBucket.empty(new RateLimit(3, 0), 0);
        assertThat(bucket.take(1, 0)).isZero();
        long next = bucket.untilNext(0).toNanos();
        assertThat(next).isBetween(SECOND / 3, SECOND / 3 + 1);
        assertThat(bucket.take(1, next - 1_000)).isZero();
        assertThat(bucket.take(1, next)).isOne();
    }

    // Guards against a level that is lost with a change or exceeds the new burst.
    @Test
    void shouldKeepLevelWhenLimitChanges() {
        TokenBucket bucket = TokenBucket.empty(new RateLimit(10, 100), 0);
        bucket.change(new RateLimit(1, 20), 5 * SECOND);
        assertThat(bucket.level()).isEqualTo(5);
        bucket.change(new RateLimit(1, 3), 5 * SECOND);
        assertThat(bucket.level()).isEqualTo(3);
        bucket.change(new RateLimit(1_000, 50), 6 * SECOND);
        assertThat(bucket.take(99, 6 * SECOND)).isEqualTo(3);
        assertThat(bucket.untilNext(6 * SECOND)).isEqualTo(Duration.ofMillis(1));
    }
}
