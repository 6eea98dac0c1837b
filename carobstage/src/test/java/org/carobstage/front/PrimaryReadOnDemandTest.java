package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.carobstage.fake.FakeInstance;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ConnectionQuota;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reads of primary routes where connections are opened on demand and promotions are fenced. */
class PrimaryReadOnDemandTest {
    private final SessionFixture fixture = new SessionFixture(true);
    private final RecordingChannel channel = new RecordingChannel();
    private final ClientSession session = fixture.openSession("primary", channel);

    @BeforeEach
    void openConnectionsOnDemand() {
        fixture.group.setConnectionQuota(new ConnectionQuota(1, 118, 71, true, false));
        fixture.advanceMillis(2_000);
    }

    // Guards against a read that opens a connection for a status query and others for itself, one
    // of them at a replica that is behind.
    @Test
    void shouldOpenOneConnectionForRead() {
        fixture.service.instances().forEach(i -> i.setReplicationDelay(Duration.ofMillis(50)));
        int before = openings();
        String write = fixture.send(session, new Statement.Write("k", "data"));
        fixture.advanceMillis(300);
        String read = fixture.send(session, new Statement.Read("k"));
        fixture.advanceMillis(300);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(fixture.executedAt("a", write)).isTrue();
        assertThat(fixture.executedAt("a", read)).isTrue();
        assertThat(openings() - before).isLessThanOrEqualTo(2);
    }

    // Guards against a stale read at an instance that was replaced as primary.
    @Test
    void shouldReadAtNewPrimaryWhenFormerOneDoesNotConfirm() {
        fixture.service.promote("b");
        String read = fixture.send(session, new Statement.Read("k"));
        fixture.advanceMillis(700);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(fixture.executedAt("a", read)).isFalse();
        assertThat(fixture.executedAt("b", read)).isTrue();
    }

    // Guards against a read that fails although its connection was lost before it was sent.
    @Test
    void shouldRetryWhenConnectionIsLostBeforeConfirmation() {
        fixture.send(session, new Statement.Read("k"));
        fixture.advanceMillis(12);
        fixture.service.instance("a").crash();
        fixture.service.instance("a").recover();
        fixture.advanceMillis(700);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    // Guards against a read that runs although the instance reports a full queue instead of a role.
    @Test
    void shouldRejectReadWhenPrimaryIsTooBusyToConfirm() {
        fixture.service.instance("a").failStatusQueries(1_000);
        String read = fixture.send(session, new Statement.Read("k"));
        fixture.advanceMillis(1_000);

        assertThat(fixture.executionCount(read)).isZero();
        assertThat(channel.lastResult().hasFailureCode(FailureCode.BUSY)).isTrue();
    }

    private int openings() {
        return fixture.service.instances().stream().mapToInt(FakeInstance::openingCount).sum();
    }
}
