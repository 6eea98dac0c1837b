package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Writes and reads while no replica receives, so that the primary acknowledges no commit. */
class CommitsStalledTest {
    private static final Statement READ = new Statement.Read("k");
    private static final Statement WRITE = new Statement.Write("k", "data");

    private final SessionFixture fixture = new SessionFixture();

    @Test
    void shouldGoOnWritingWhenConnectionOfCommitWasLost() {
        comeBack();
        fixture.service.instance("a").loseAnswers(1);
        fixture.send(fixture.open("primary", new RecordingChannel()), WRITE);
        fixture.run(2_000);
        RecordingChannel channel = new RecordingChannel();
        fixture.send(fixture.open("primary", channel), WRITE);
        fixture.run(100);

        assertThat(channel.last().succeeded()).isTrue();
    }

    private void comeBack() {
        fixture.service.instance("b").comeBack();
        fixture.service.instance("c").comeBack();
        fixture.run(3_000);
    }

    @BeforeEach
    void stopReplicas() {
        fixture.service.instance("b").goDark();
        fixture.service.instance("c").goDark();
        fixture.run(1_500);
    }

    @Test
    void shouldGoOnReadingWhileWritesAreNotAcknowledged() {
        int served = 0;
        for (int i = 0; i < 60; i++) {
            fixture.send(fixture.open("primary", new RecordingChannel()), WRITE);
            RecordingChannel reader = new RecordingChannel();
            fixture.send(fixture.open("bounded", reader), READ);
            fixture.run(100);
            served += reader.answers.isEmpty() || !reader.last().succeeded() ? 0 : 1;
        }

        assertThat(served).isGreaterThan(45);
    }

    @Test
    void shouldRefuseWritesAtOnceWhileCommitsAreNotAcknowledged() {
        fixture.send(fixture.open("primary", new RecordingChannel()), WRITE);
        fixture.run(900);
        RecordingChannel channel = new RecordingChannel();
        String id = fixture.send(fixture.open("primary", channel), WRITE);
        fixture.run(5);

        assertThat(channel.last().failedWith(FailureCode.BUSY)).isTrue();
        fixture.run(2_000);
        assertThat(fixture.runs(id)).isZero();
    }

    @Test
    void shouldWriteAgainWhenReplicasAreBack() {
        fixture.send(fixture.open("primary", new RecordingChannel()), WRITE);
        fixture.run(2_000);
        fixture.service.instance("b").comeBack();
        fixture.run(3_000);
        fixture.send(fixture.open("primary", new RecordingChannel()), WRITE);
        fixture.run(100);
        RecordingChannel channel = new RecordingChannel();
        fixture.send(fixture.open("primary", channel), WRITE);
        fixture.run(100);

        assertThat(channel.last().succeeded()).isTrue();
    }
}
