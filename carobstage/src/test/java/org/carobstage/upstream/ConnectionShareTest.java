package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ConnectionShareTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final double LONGEST = 1;

    private final ConnectionShare elastic =
            ConnectionShare.of(new ConnectionQuota(2, 31, 80, false, true), 0);

    // Guards against a deployment without accounts whose limit or delays change.
    @Test
    void shouldKeepLimitAndDelayWhenQuotaIsFixed() {
        ConnectionShare share = ConnectionShare.of(ConnectionQuota.fixed(4, 5), 0);

        assertThat(share.onDemand(SECOND).limit()).isEqualTo(4);
        ConnectionShare refused = share.onRefused(0, 0, LONGEST).onRefused(1, 1, LONGEST);
        assertThat(refused.limit()).isEqualTo(4);
        assertThat(refused.backoff(1)).isEqualTo(ConnectionShare.RETRY_DELAY);
        assertThat(share.idleTimeout(4)).isEqualTo(ConnectionShare.IDLE_TIMEOUT);
        assertThat(share.minConnections(false)).isEqualTo(1);
    }

    // Guards against a process that takes all connections at once.
    @Test
    void shouldIncreaseByOneWhenConnectionsAreInUse() {
        ConnectionShare share = elastic;
        for (int i = 0; i < 100; i++) {
            share = share.onDemand(i);
        }

        assertThat(share.limit()).isEqualTo(3);
        assertThat(share.onDemand(SECOND).limit()).isEqualTo(4);
        assertThat(share.onDemand(SECOND).onIdleClosed().limit()).isEqualTo(3);
    }

    // Guards against a limit below the equal share, which other processes leave to this one.
    @Test
    void shouldHalveLimitDownToEqualShareWhenRefused() {
        ConnectionShare share = elastic;
        for (int i = 1; i <= 8; i++) {
            share = share.onDemand(i * SECOND);
        }

        assertThat(share.limit()).isEqualTo(10);
        share = share.onRefused(9 * SECOND, 9 * SECOND, LONGEST);
        assertThat(share.limit()).isEqualTo(5);
        share = share.onRefused(10 * SECOND, 10 * SECOND, LONGEST);
        share = share.onRefused(11 * SECOND, 11 * SECOND, LONGEST);
        assertThat(share.limit()).isEqualTo(2);
    }

    // Guards against retries at a constant rate, and at the same time by all processes.
    @Test
    void shouldDoubleBackoffUntilAnOpeningSucceeds() {
        ConnectionShare share = elastic.onRefused(0, 0, LONGEST);
        assertThat(share.backoff(0)).isEqualTo(ConnectionShare.FIRST_BACKOFF);
        assertThat(elastic.onRefused(0, 0, 0).backoff(0)).isEqualTo(Duration.ofMillis(25));
        share = share.onRefused(SECOND, SECOND, LONGEST);
        assertThat(share.backoff(SECOND)).isEqualTo(Duration.ofMillis(100));
        for (int i = 2; i < 40; i++) {
            share = share.onRefused(i * SECOND, i * SECOND, LONGEST);
        }

        assertThat(share.backoff(39 * SECOND)).isEqualTo(ConnectionShare.MAX_BACKOFF);
        assertThat(share.mayOpen(40 * SECOND)).isFalse();
        share = share.onOpened().onRefused(50 * SECOND, 50 * SECOND, LONGEST);
        assertThat(share.backoff(50 * SECOND)).isEqualTo(ConnectionShare.FIRST_BACKOFF);
    }

    // Guards against a backoff of 2 s after one moment in which several openings were in progress.
    @Test
    void shouldCountRefusalsAtTheSameTimeOnce() {
        ConnectionShare share = elastic.onRefused(0, 12, LONGEST).onRefused(1, 13, LONGEST);

        assertThat(share.backoff(12)).isEqualTo(ConnectionShare.FIRST_BACKOFF);
    }

    // Guards against 118 processes that keep 73 connections open without use.
    @Test
    void shouldKeepNoConnectionWhenShareIsBelowOne() {
        ConnectionShare share = ConnectionShare.of(new ConnectionQuota(1, 118, 71, true, false), 0);

        assertThat(share.minConnections(false)).isZero();
        assertThat(share.minConnections(true)).isEqualTo(1);
        assertThat(share.idleTimeout(1)).isEqualTo(ConnectionShare.EXTRA_IDLE_TIMEOUT);
        assertThat(share.closesAtRelease(1, 0)).isFalse();
        assertThat(share.onRefused(0, 0, LONGEST).closesAtRelease(1, 1)).isTrue();
    }
}
