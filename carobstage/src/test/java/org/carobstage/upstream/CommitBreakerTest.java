package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CommitBreakerTest {
    private final CommitBreaker breaker = CommitBreaker.empty();

    @Test
    void shouldLetCommitsThroughWhileTheyAreAnswered() {
        breaker.sent(millis(0)).settle(true);

        assertThat(breaker.accepts(millis(10_000))).isTrue();
    }

    @Test
    void shouldRefuseWhenCommitGoesUnanswered() {
        breaker.sent(millis(0));

        assertThat(breaker.accepts(millis(400))).isTrue();
        assertThat(breaker.accepts(millis(600))).isFalse();
    }

    @Test
    void shouldLetOneCommitThroughEachIntervalWhileStalled() {
        breaker.sent(millis(0));
        breaker.accepts(millis(600));

        assertThat(breaker.accepts(millis(1_100))).isTrue();
        assertThat(breaker.accepts(millis(1_110))).isFalse();
    }

    @Test
    void shouldLetCommitsThroughAgainWhenOneIsAnswered() {
        breaker.sent(millis(0)).givenUp(millis(600));
        CommitBreaker.Ticket probe = breaker.sent(millis(700));
        assertThat(breaker.accepts(millis(710))).isFalse();
        probe.settle(true);

        assertThat(breaker.accepts(millis(720))).isTrue();
    }

    @Test
    void shouldStayClosedWhenConnectionOfCommitIsLost() {
        breaker.sent(millis(0)).settle(false);

        assertThat(breaker.accepts(millis(10_000))).isTrue();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
