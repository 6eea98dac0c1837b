package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Writes and reads while no replica receives, so that the primary acknowledges no commit. */
class UnacknowledgedCommitsTest {
    private static final Statement READ = new Statement.Read("k");
    private static final Statement WRITE = new Statement.Write("k", "data");

    private final SessionFixture fixture = new SessionFixture();

    @Test
    void shouldGoOnWritingWhenConnectionOfCommitWasLost() {
        comeBack();
        fixture.service.instance("a").dropResponses(1);
        fixture.send(fixture.openSession("primary", new RecordingChannel()), WRITE);
        fixture.advanceMillis(2_000);
        RecordingChannel channel = new RecordingChannel();
        fixture.send(fixture.openSession("primary", channel), WRITE);
        fixture.advanceMillis(100);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    private void comeBack() {
        fixture.service.instance("b").recover();
        fixture.service.instance("c").recover();
        fixture.advanceMillis(3_000);
    }

    @BeforeEach
    void stopReplicas() {
        fixture.service.instance("b").stopResponding();
        fixture.service.instance("c").stopResponding();
        fixture.advanceMillis(1_500);
    }

    @Test
    void shouldGoOnReadingWhileWritesAreNotAcknowledged() {
        int served = 0;
        for (int i = 0; i < 60; i++) {
            fixture.send(fixture.openSession("primary", new RecordingChannel()), WRITE);
            RecordingChannel reader = new RecordingChannel();
            fixture.send(fixture.openSession("bounded", reader), READ);
            fixture.advanceMillis(100);
            served += reader.results.isEmpty() || !reader.lastResult().isSuccessful() ? 0 : 1;
        }

        assertThat(served).isGreaterThan(45);
    }

    @Test
    void shouldRefuseWritesAtOnceWhileCommitsAreNotAcknowledged() {
        fixture.send(fixture.openSession("primary", new RecordingChannel()), WRITE);
        fixture.advanceMillis(900);
        RecordingChannel channel = new RecordingChannel();
        String id = fixture.send(fixture.openSession("primary", channel), WRITE);
        fixture.advanceMillis(5);

        assertThat(channel.lastResult().hasFailureCode(FailureCode.BUSY)).isTrue();
        fixture.advanceMillis(2_000);
        assertThat(fixture.executionCount(id)).isZero();
    }

    @Test
    void shouldWriteAgainWhenReplicasAreBack() {
        fixture.send(fixture.openSession("primary", new RecordingChannel()), WRITE);
        fixture.advanceMillis(2_000);
        fixture.service.instance("b").recover();
        fixture.advanceMillis(3_000);
        fixture.send(fixture.openSession("primary", new RecordingChannel()), WRITE);
        fixture.advanceMillis(100);
        RecordingChannel channel = new RecordingChannel();
        fixture.send(fixture.openSession("primary", channel), WRITE);
        fixture.advanceMillis(100);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }
}
