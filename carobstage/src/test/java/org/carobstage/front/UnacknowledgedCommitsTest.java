package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against writes that accumulate at the primary and delay reads while it acknowledges no
 * commit because no replica receives the log.
 */
class UnacknowledgedCommitsTest {
    private static final Statement READ = new Statement.Read("k");
    private static final Statement WRITE = new Statement.Write("k", "data");

    private final SessionFixture fixture = new SessionFixture();

    @Test
    void shouldContinueWritingWhenConnectionOfCommitWasLost() {
        recoverReplicas();
        fixture.service.instance("a").dropResponses(1);
        fixture.send(fixture.openSession("primary", new RecordingChannel()), WRITE);
        fixture.advanceMillis(2_000);
        RecordingChannel channel = new RecordingChannel();
        fixture.send(fixture.openSession("primary", channel), WRITE);
        fixture.advanceMillis(100);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    private void recoverReplicas() {
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
    void shouldContinueReadingWhileCommitsAreNotAcknowledged() {
        fixture.service.instance("b").recover();
        fixture.service.instance("c").recover();
        fixture.service.instance("b").setReplicationBlocked(true);
        fixture.service.instance("c").setReplicationBlocked(true);
        fixture.advanceMillis(1_000);
        int successfulReads = 0;
        for (int i = 0; i < 60; i++) {
            fixture.send(fixture.openSession("primary", new RecordingChannel()), WRITE);
            RecordingChannel reader = new RecordingChannel();
            fixture.send(fixture.openSession("bounded", reader), READ);
            fixture.advanceMillis(100);
            successfulReads +=
                    reader.results.isEmpty() || !reader.lastResult().isSuccessful() ? 0 : 1;
        }

        assertThat(successfulReads).isGreaterThan(45);
    }

    @Test
    void shouldRejectWritesAtOnceWhileCommitsAreNotAcknowledged() {
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
    void shouldResumeWritingWhenReplicasRecover() {
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
