package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.carobstage.sql.Statement;
import org.junit.jupiter.api.Test;

/**
 * Checks which commits the position covers that a process reports for a failover. A commit counts
 * once a replica has received it, whether or not the client or this process awaits the response.
 */
class CommitPositionTest {
    private static final Statement WRITE = new Statement.Write("k", "data");

    private final SessionFixture fixture = new SessionFixture();
    private final ClientSession session = fixture.openSession("primary", new RecordingChannel());

    // Guards against a write whose position is dropped because nobody awaits the result.
    @Test
    void shouldRecordPositionOfWriteWhenClientHasDisconnected() {
        fixture.send(session, WRITE);
        fixture.advanceMillis(2);
        session.onDisconnect();
        fixture.advanceMillis(20);

        assertThat(fixture.group.lastAcknowledgedPosition())
                .isEqualTo(fixture.service.instance("c").receivedPosition());
        assertThat(fixture.group.lastAcknowledgedPosition().offset()).isEqualTo(1);
    }

    // Guards against a commit whose position is dropped because nobody awaits the result.
    @Test
    void shouldRecordPositionOfCommitWhenClientHasDisconnected() {
        fixture.send(session, new Statement.Begin(false));
        fixture.send(session, WRITE);
        fixture.advanceMillis(60);
        fixture.send(session, new Statement.Commit());
        fixture.advanceMillis(2);
        session.onDisconnect();
        fixture.advanceMillis(20);

        assertThat(fixture.group.lastAcknowledgedPosition())
                .isEqualTo(fixture.service.instance("c").receivedPosition());
        assertThat(fixture.group.lastAcknowledgedPosition().offset()).isEqualTo(1);
    }

    // Guards against a vote with an older position after a write was given up.
    @Test
    void shouldNotKnowPositionWhenWriteTimedOut() {
        fixture.send(session, WRITE);
        fixture.service.instance("a").stopResponding();
        fixture.advanceMillis(1_600);

        assertThat(fixture.group.pendingWrites().mayBeAcknowledged()).isTrue();
    }

    // Guards against a vote with an older position after a COMMIT was given up.
    @Test
    void shouldNotKnowPositionWhenCommitTimedOut() {
        fixture.send(session, new Statement.Begin(false));
        fixture.send(session, WRITE);
        fixture.advanceMillis(60);
        fixture.send(session, new Statement.Commit());
        fixture.service.instance("a").stopResponding();
        fixture.advanceMillis(1_600);

        assertThat(fixture.group.pendingWrites().mayBeAcknowledged()).isTrue();
    }
}
