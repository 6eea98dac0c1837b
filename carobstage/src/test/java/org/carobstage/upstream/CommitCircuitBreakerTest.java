package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CommitCircuitBreakerTest {
    private final CommitCircuitBreaker breaker = CommitCircuitBreaker.closed();

    @Test
    void shouldPermitCommitsWhileTheyAreAnswered() {
        breaker.trackCommit(millis(0)).complete(true);

        assertThat(breaker.tryAcquirePermission(millis(10_000))).isTrue();
    }

    @Test
    void shouldRejectCommitsWhenOneIsUnanswered() {
        breaker.trackCommit(millis(0));

        assertThat(breaker.tryAcquirePermission(millis(400))).isTrue();
        assertThat(breaker.tryAcquirePermission(millis(600))).isFalse();
    }

    @Test
    void shouldPermitOneProbePerIntervalWhileOpen() {
        breaker.trackCommit(millis(0));
        breaker.tryAcquirePermission(millis(600));

        assertThat(breaker.tryAcquirePermission(millis(1_100))).isTrue();
        assertThat(breaker.tryAcquirePermission(millis(1_110))).isFalse();
    }

    @Test
    void shouldPermitCommitsAgainWhenProbeIsAnswered() {
        breaker.trackCommit(millis(0)).abandon(millis(600));
        CommitCircuitBreaker.InFlightCommit probe = breaker.trackCommit(millis(700));
        assertThat(breaker.tryAcquirePermission(millis(710))).isFalse();
        probe.complete(true);

        assertThat(breaker.tryAcquirePermission(millis(720))).isTrue();
    }

    @Test
    void shouldStayClosedWhenConnectionOfCommitIsLost() {
        breaker.trackCommit(millis(0)).complete(false);

        assertThat(breaker.tryAcquirePermission(millis(10_000))).isTrue();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
