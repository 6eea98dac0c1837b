package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against stale reads while an instance is replaced and the primary is lost: a service has
 * four instances then, and the last commits of the primary are on one replica only.
 */
class ReplacedInstanceTest {
    private static final Statement READ = new Statement.Read("k");

    private final SessionFixture fixture = new SessionFixture(true);
    private final RecordingChannel channel = new RecordingChannel();

    // The two replicas that lack the commits confirmed their own position once the entry of the
    // primary was gone.
    @ParameterizedTest
    @ValueSource(strings = {"primary", "bounded", "own"})
    void shouldNotReadAtReplicaThatLacksCommitsWhenPrimaryHasLeft(String database) {
        ClientSession session = fixture.openSession(database, channel);
        commitAtReplicaCAlone();
        fixture.service.instance("c").failStatusQueries(1_000);
        fixture.service.instance("a").crash();
        fixture.group.remove(InstanceId.of("a"));
        fixture.advanceMillis(2_000);
        String read = fixture.send(session, READ);
        fixture.advanceMillis(1_000);

        assertThat(fixture.executedAt("b", read)).isFalse();
        assertThat(fixture.executedAt("d", read)).isFalse();
    }

    // A process that the store turned away confirmed positions without the instance that had joined
    // meanwhile, which alone held the last commits of the primary.
    @ParameterizedTest
    @ValueSource(strings = {"primary", "bounded", "own"})
    void shouldNotReadWithoutPrimaryWhenInstanceMayHaveJoinedUnseen(String database) {
        ClientSession session = fixture.openSession(database, channel);
        fixture.group.quorum().setRegistryCurrent(false);
        fixture.service.instance("a").crash();
        fixture.advanceMillis(2_000);
        String read = fixture.send(session, READ);
        fixture.advanceMillis(1);
        assertThat(channel.lastResult().hasFailureCode(FailureCode.BUSY)).isTrue();
        assertThat(fixture.executionCount(read)).isZero();

        fixture.group.quorum().setRegistryCurrent(true);
        fixture.send(session, READ);
        fixture.advanceMillis(200);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    // Guards against a rejection of reads that the primary confirms while the store is away.
    @Test
    void shouldReadWithPrimaryWhenStoreDoesNotRespond() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.group.quorum().setRegistryCurrent(false);
        fixture.send(session, READ);
        fixture.advanceMillis(200);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    // Reads have to go on without the primary if all replicas respond.
    @ParameterizedTest
    @ValueSource(strings = {"primary", "bounded", "own"})
    void shouldReadAtReplicaWithEveryCommitWhenPrimaryHasLeft(String database) {
        ClientSession session = fixture.openSession(database, channel);
        commitAtReplicaCAlone();
        fixture.service.instance("a").crash();
        fixture.group.remove(InstanceId.of("a"));
        fixture.advanceMillis(2_000);
        String read = fixture.send(session, READ);
        fixture.advanceMillis(1_000);

        assertThat(fixture.executedAt("c", read)).isTrue();
    }

    private void commitAtReplicaCAlone() {
        fixture.group.put(fixture.service.addInstance("d", "domain-b").instanceEntry());
        ClientSession writer = fixture.openSession("primary", new RecordingChannel());
        fixture.send(writer, new Statement.Write("k", "1"));
        fixture.advanceMillis(2_000);
        fixture.service.instance("b").setReplicationBlocked(true);
        fixture.service.instance("d").setReplicationBlocked(true);
        fixture.send(writer, new Statement.Write("k", "2"));
        fixture.advanceMillis(100);
        LogPosition committed = fixture.service.instance("a").receivedPosition();
        assertThat(fixture.service.instance("c").receivedPosition()).isEqualTo(committed);
        assertThat(fixture.service.instance("b").receivedPosition()).isNotEqualTo(committed);
    }
}
