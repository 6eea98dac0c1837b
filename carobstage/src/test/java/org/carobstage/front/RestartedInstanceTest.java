package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Restarts instances with a shorter log while their entries are unchanged, as if the metadata store
 * were down. Instance b never receives the commit that a and c hold.
 */
class RestartedInstanceTest {
    private static final Statement READ = new Statement.Read("k");
    private static final Statement WRITE = new Statement.Write("k", "data");
    private static final LogPosition COMMIT = LogPosition.of(1, 9);

    private final SessionFixture fixture = new SessionFixture();
    private final RecordingChannel channel = new RecordingChannel();

    @BeforeEach
    void blockReplicationToOneReplica() {
        fixture.service.instance("b").setReplicationBlocked(true);
    }

    // Guards against reads without a commit that only the lost primary and a replica that has
    // restarted without its log had received.
    @ParameterizedTest
    @ValueSource(strings = {"primary", "bounded", "own"})
    void shouldRejectReadWhenReplicaHasRestartedWithoutLogAndPrimaryIsLost(String database) {
        commitByOtherProcess(fixture);
        fixture.service.instance("a").crash();
        fixture.service.instance("c").restartWithoutLog();
        fixture.advanceMillis(2_600);
        String read = fixture.send(fixture.openSession(database, channel), READ);
        fixture.advanceMillis(200);

        assertThat(fixture.executionCount(read)).isZero();
        assertThat(channel.lastResult().hasFailureCode(FailureCode.BUSY)).isTrue();
    }

    // Guards against a rejection of all reads while the primary is lost, after a replica has
    // received again what it had lost.
    @ParameterizedTest
    @ValueSource(strings = {"primary", "bounded", "own"})
    void shouldReadAtReplicasWhenRestartedReplicaCaughtUpBeforePrimaryWasLost(String database) {
        commitByOtherProcess(fixture);
        fixture.service.instance("c").setReplicationBlocked(true);
        fixture.service.instance("c").restartWithoutLog();
        fixture.advanceMillis(100);
        reportAll(fixture);
        fixture.service.instance("c").setReplicationBlocked(false);
        fixture.service.instance("c").receive(COMMIT);
        reportAll(fixture);
        fixture.service.instance("a").crash();
        fixture.advanceMillis(2_600);
        String read = fixture.send(fixture.openSession(database, channel), READ);
        fixture.advanceMillis(200);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(fixture.executedAt("c", read)).isTrue();
    }

    // Guards against a known primary whose log is gone but whose report is proof by itself.
    @ParameterizedTest
    @ValueSource(strings = {"primary", "bounded", "own"})
    void shouldReadCommitAtReplicaWhenPrimaryHasRestartedWithoutLog(String database) {
        SessionFixture fenced = fencedFixture();
        commitByOtherProcess(fenced);
        fenced.service.instance("a").restartWithoutLog();
        fenced.advanceMillis(2_600);
        String read = fenced.send(fenced.openSession(database, channel), READ);
        fenced.advanceMillis(400);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(fenced.executedAt("c", read)).isTrue();
        assertThat(fenced.executionCount(read)).isEqualTo(1);
    }

    // Guards against a primary that leads its term with less than it has acknowledged in it.
    @ParameterizedTest
    @ValueSource(strings = {"primary", "bounded", "own"})
    void shouldNotReadWithoutCommitWhenPrimaryHasRestartedWithShorterLog(String database) {
        SessionFixture fenced = fencedFixture();
        List.of("a", "c").forEach(id -> fenced.service.instance(id).receive(COMMIT));
        // The replicas don't report, so that the floor is below the commit.
        fenced.group.trySendControlCommand(
                InstanceId.of("a"), new Statement.QueryStatus(), response -> {});
        fenced.advanceMillis(50);
        fenced.service.instance("a").restartWithLog(LogPosition.of(1, 1));
        fenced.advanceMillis(2_600);
        String read = fenced.send(fenced.openSession(database, channel), READ);
        fenced.advanceMillis(800);

        assertThat(fenced.executedAt("a", read)).isFalse();
        assertThat(fenced.executedAt("b", read)).isFalse();
        assertThat(channel.results).isNotEmpty();
    }

    // Guards against the same where the replica has restarted with as much as it had last reported.
    @ParameterizedTest
    @ValueSource(strings = {"primary", "bounded", "own"})
    void shouldRejectReadBelowAcknowledgedCommitWhenReplicaHasLostIt(String database) {
        fixture.send(fixture.openSession("primary", new RecordingChannel()), WRITE);
        fixture.advanceMillis(100);
        fixture.service.instance("a").crash();
        fixture.service.instance("c").restartWithLog(LogPosition.of(1, 0));
        fixture.advanceMillis(2_600);
        String read = fixture.send(fixture.openSession(database, channel), READ);
        fixture.advanceMillis(200);

        assertThat(fixture.service.instance("a").receivedPosition())
                .isEqualTo(LogPosition.of(1, 1));
        assertThat(fixture.executionCount(read)).isZero();
        assertThat(channel.lastResult().hasFailureCode(FailureCode.BUSY)).isTrue();
    }

    // Guards against a rejection of all reads after a crash of the primary with commits that no
    // replica has received.
    @ParameterizedTest
    @ValueSource(strings = {"primary", "bounded", "own"})
    void shouldReadAtReplicasWhenLostPrimaryHadUnacknowledgedCommits(String database) {
        fixture.service.instance("c").setReplicationBlocked(true);
        fixture.send(fixture.openSession("primary", new RecordingChannel()), WRITE);
        fixture.advanceMillis(100);
        reportAll(fixture);
        fixture.service.instance("a").crash();
        fixture.advanceMillis(2_600);
        fixture.send(fixture.openSession(database, channel), READ);
        fixture.advanceMillis(200);

        assertThat(fixture.service.instance("a").receivedPosition())
                .isEqualTo(LogPosition.of(1, 1));
        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    // Guards against the same where it has received more than it had last reported, but not all.
    @ParameterizedTest
    @ValueSource(strings = {"primary", "bounded", "own"})
    void shouldRejectReadWhenReplicaHasStoppedAndPrimaryIsLost(String database) {
        List.of("a", "c").forEach(id -> fixture.service.instance(id).receive(COMMIT));
        List.of("a", "c").forEach(id -> fixture.service.instance(id).crash());
        fixture.advanceMillis(600);
        fixture.service.instance("c").restartWithLog(LogPosition.of(1, 5));
        fixture.advanceMillis(2_000);
        String read = fixture.send(fixture.openSession(database, channel), READ);
        fixture.advanceMillis(200);

        assertThat(fixture.executionCount(read)).isZero();
        assertThat(channel.lastResult().hasFailureCode(FailureCode.BUSY)).isTrue();
    }

    private static SessionFixture fencedFixture() {
        SessionFixture fenced = new SessionFixture(true);
        fenced.service.instance("b").setReplicationBlocked(true);
        return fenced;
    }

    /** Adds a commit of which this process knows only what the instances report. */
    private static void commitByOtherProcess(SessionFixture fixture) {
        List.of("a", "c").forEach(id -> fixture.service.instance(id).receive(COMMIT));
        reportAll(fixture);
    }

    private static void reportAll(SessionFixture fixture) {
        fixture.group.requestAllStatuses();
        fixture.advanceMillis(50);
    }
}
