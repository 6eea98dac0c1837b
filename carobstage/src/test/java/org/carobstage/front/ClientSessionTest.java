package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.route.RouteTable;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.TransactionState;
import org.junit.jupiter.api.Test;

class ClientSessionTest {
    private static final Statement READ = new Statement.Read("k");
    private static final Statement WRITE = new Statement.Write("k", "data");
    private static final Statement BEGIN = new Statement.Begin(false);

    private final SessionFixture fixture = new SessionFixture();
    private final RecordingChannel channel = new RecordingChannel();

    @Test
    void shouldReadAtReplicaInOwnFailureDomainWhenStalenessAllows() {
        send("bounded", READ);
        fixture.advanceMillis(20);

        assertThat(channel.lastResult().signature()).isEqualTo("signed-by-b");
    }

    @Test
    void shouldReadAtLocalReplicaOnPrimaryRouteWhenItHasEveryCommit() {
        send("primary", READ);
        fixture.advanceMillis(20);

        assertThat(channel.lastResult().signature()).isEqualTo("signed-by-b");
    }

    @Test
    void shouldReadAtPrimaryOnPrimaryRouteWhenLocalReplicaLacksLatestCommit() {
        fixture.service.instance("b").setReplicationBlocked(true);
        ClientSession writer = fixture.openSession("primary", new RecordingChannel());
        fixture.send(writer, WRITE);
        fixture.advanceMillis(20);
        send("primary", READ);
        fixture.advanceMillis(40);

        assertThat(channel.lastResult().signature()).isEqualTo("signed-by-a");
    }

    @Test
    void shouldNotReadAtFormerPrimary() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.service.instance("b").becomePrimary(Term.of(2));
        fixture.service.instance("a").becomePrimary(Term.of(1));
        demote("a");
        fixture.send(session, READ);
        fixture.advanceMillis(400);

        assertThat(channel.lastResult().signature()).isEqualTo("signed-by-b");
    }

    @Test
    void shouldSeeOwnWriteWhenLocalReplicaLags() {
        ClientSession session = fixture.openSession("own", channel);
        fixture.service.instance("b").setReplicationBlocked(true);
        fixture.send(session, WRITE);
        fixture.advanceMillis(30);
        fixture.send(session, READ);
        fixture.advanceMillis(60);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(channel.lastResult().signature()).isNotEqualTo("signed-by-b");
    }

    @Test
    void shouldReadAtPrimaryWhenReplicasExceedStalenessBound() {
        ClientSession session = fixture.openSession("bounded", channel);
        fixture.service.instance("b").setReplicationBlocked(true);
        fixture.service.instance("c").setReplicationBlocked(true);
        fixture.service.instance("a").receive(LogPosition.of(1, 50));
        fixture.advanceMillis(3_000);
        fixture.send(session, READ);
        fixture.advanceMillis(100);

        assertThat(channel.lastResult().signature()).isEqualTo("signed-by-a");
    }

    @Test
    void shouldRetryReadAtOtherInstanceWhenResultIsLost() {
        fixture.service.instance("b").dropResponses(1);
        send("bounded", READ);
        fixture.advanceMillis(60);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    @Test
    void shouldHedgeReadWhenInstanceDoesNotRespond() {
        ClientSession session = fixture.openSession("bounded", channel);
        fixture.service.instance("b").stopResponding();
        fixture.send(session, READ);
        fixture.advanceMillis(200);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    @Test
    void shouldReportOutcomeUnknownAtOnceWhenWriteResultIsLost() {
        fixture.service.instance("a").dropResponses(1);
        String id = send("primary", WRITE);
        fixture.advanceMillis(20);

        assertThat(channel.lastResult().hasFailureCode(FailureCode.OUTCOME_UNKNOWN)).isTrue();
        fixture.advanceMillis(2_000);
        assertThat(fixture.executionCount(id)).isEqualTo(1);
        assertThat(channel.results).hasSize(1);
    }

    @Test
    void shouldRetryWriteWhenInstanceWasBusy() {
        fixture.service.instance("a").failStatements(FailureCode.BUSY, 2);
        String id = send("primary", WRITE);
        fixture.advanceMillis(200);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(fixture.executionCount(id)).isEqualTo(1);
    }

    @Test
    void shouldReportOutcomeUnknownWhenWriteTimesOut() {
        fixture.service.instance("b").setReplicationBlocked(true);
        fixture.service.instance("c").setReplicationBlocked(true);
        send("primary", WRITE);
        fixture.advanceMillis(900);

        assertThat(channel.lastResult().hasFailureCode(FailureCode.OUTCOME_UNKNOWN)).isTrue();
    }

    @Test
    void shouldRejectWriteWithoutExecutingItWhenPrimaryIsLost() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.service.instance("a").crash();
        fixture.advanceMillis(600);
        String id = fixture.send(session, WRITE);

        assertThat(channel.lastResult().hasFailureCode(FailureCode.BUSY)).isTrue();
        fixture.advanceMillis(3_000);
        assertThat(fixture.executionCount(id)).isZero();
    }

    @Test
    void shouldKeepTransactionOnOneConnectionAndReportItsState() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.send(session, WRITE);
        fixture.send(session, new Statement.Commit());
        fixture.advanceMillis(100);

        assertThat(channel.results)
                .extracting(result -> result.transactionState())
                .containsExactly(
                        TransactionState.OPEN,
                        TransactionState.OPEN,
                        TransactionState.OPEN,
                        TransactionState.IDLE);
        assertThat(channel.lastResult().signature()).isEqualTo("signed-by-a");
    }

    @Test
    void shouldReportRollbackWhenConnectionIsLostBeforeCommit() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, WRITE);
        fixture.advanceMillis(50);
        fixture.service.instance("a").dropResponses(1);
        fixture.send(session, WRITE);
        fixture.advanceMillis(50);

        assertThat(channel.lastResult().hasFailureCode(FailureCode.ROLLED_BACK)).isTrue();
        assertThat(channel.lastResult().transactionState()).isEqualTo(TransactionState.FAILED);
        fixture.send(session, new Statement.Rollback());
        assertThat(channel.lastResult().transactionState()).isEqualTo(TransactionState.IDLE);
    }

    @Test
    void shouldReportOutcomeUnknownWhenCommitResultIsLost() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, WRITE);
        fixture.advanceMillis(50);
        fixture.service.instance("a").dropResponses(1);
        fixture.send(session, new Statement.Commit());
        fixture.advanceMillis(50);

        assertThat(channel.lastResult().hasFailureCode(FailureCode.OUTCOME_UNKNOWN)).isTrue();
        assertThat(channel.lastResult().transactionState()).isEqualTo(TransactionState.IDLE);
    }

    @Test
    void shouldDelayNextReadIndexRequestWhenInstancesAreBusy() {
        int before = fixture.service.instance("a").statusQueryCount();
        fixture.service.instance("a").failStatusQueries(1_000);
        fixture.service.instance("b").failStatusQueries(1_000);
        send("primary", READ);
        fixture.advanceMillis(400);
        assertThat(fixture.service.instance("a").statusQueryCount() - before).isBetween(5, 25);
        assertThat(channel.results).isEmpty();
        fixture.service.instance("a").failStatusQueries(0);
        fixture.advanceMillis(100);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    @Test
    void shouldRetryStatementOfTransactionWhenInstanceWasBusy() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.advanceMillis(50);
        fixture.service.instance("a").failStatements(FailureCode.BUSY, 3);
        String id = fixture.send(session, WRITE);
        fixture.advanceMillis(200);
        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(channel.lastResult().transactionState()).isEqualTo(TransactionState.OPEN);
        fixture.send(session, new Statement.Commit());
        fixture.advanceMillis(50);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(fixture.executionCount(id)).isEqualTo(1);
    }

    @Test
    void shouldFailStatementOfTransactionWhenInstanceStaysBusy() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.advanceMillis(50);
        fixture.service.instance("a").failStatements(FailureCode.BUSY, 1_000);
        String id = fixture.send(session, WRITE);
        fixture.advanceMillis(2_000);

        assertThat(channel.lastResult().hasFailureCode(FailureCode.ROLLED_BACK)).isTrue();
        assertThat(channel.lastResult().failure().get().message())
                .contains("primary=a", "waiting=0");
        assertThat(fixture.executionCount(id)).isZero();
    }

    @Test
    void shouldNeverCommitFailedTransaction() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.advanceMillis(50);
        fixture.service.instance("a").failStatements(FailureCode.FAILED, 1);
        fixture.send(session, WRITE);
        fixture.advanceMillis(50);
        fixture.send(session, WRITE);
        assertThat(channel.lastResult().hasFailureCode(FailureCode.MALFORMED)).isTrue();
        fixture.send(session, new Statement.Commit());

        assertThat(channel.lastResult().hasFailureCode(FailureCode.ROLLED_BACK)).isTrue();
        assertThat(channel.lastResult().transactionState()).isEqualTo(TransactionState.IDLE);
    }

    @Test
    void shouldRollBackIdleTransaction() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, WRITE);
        fixture.advanceMillis(4_000);
        fixture.send(session, READ);

        assertThat(channel.lastResult().hasFailureCode(FailureCode.ROLLED_BACK)).isTrue();
    }

    @Test
    void shouldApplyOwnSessionVariablesWhenSessionsShareConnections() {
        fixture.group.setConnectionLimit(1, 5);
        RecordingChannel other = new RecordingChannel();
        ClientSession first = fixture.openSession("bounded", channel);
        ClientSession second = fixture.openSession("bounded", other);
        fixture.send(first, new Statement.SetVariable("zone", "one"));
        String one = fixture.send(first, READ);
        fixture.advanceMillis(30);
        String two = fixture.send(second, READ);
        fixture.advanceMillis(30);
        fixture.send(first, new Statement.SetVariable("zone", "two"));
        String three = fixture.send(first, READ);
        fixture.advanceMillis(30);

        assertThat(sessionVariablesOf(one)).isEqualTo("{zone=one}");
        assertThat(sessionVariablesOf(two)).isEqualTo("{}");
        assertThat(sessionVariablesOf(three)).isEqualTo("{zone=two}");
    }

    @Test
    void shouldIsolatePreparedStatementsWhenNamesCollide() {
        RecordingChannel other = new RecordingChannel();
        ClientSession first = fixture.openSession("bounded", channel);
        ClientSession second = fixture.openSession("bounded", other);
        fixture.send(first, new Statement.Prepare("s1", false, "q1"));
        fixture.send(second, new Statement.Prepare("s1", false, "q2"));
        String one = fixture.send(first, new Statement.Execute("s1", "k"));
        String two = fixture.send(second, new Statement.Execute("s1", "k"));
        fixture.advanceMillis(60);

        assertThat(executedStatement(one)).contains("name=r_q1");
        assertThat(executedStatement(two)).contains("name=r_q2");
    }

    @Test
    void shouldRejectUnknownPreparedStatement() {
        send("bounded", new Statement.Execute("s9", "k"));

        assertThat(channel.lastResult().hasFailureCode(FailureCode.NOT_PREPARED)).isTrue();
    }

    @Test
    void shouldWaitForRouteThatIsBeingAdded() {
        RouteTable loadedRoutes = fixture.routeTable;
        fixture.routeTable = new RouteTable(0, Map.of(), Map.of(), Duration.ofSeconds(3));
        fixture.openSession("bounded", channel);
        fixture.advanceMillis(100);
        fixture.routeTable = loadedRoutes;
        fixture.advanceMillis(100);

        assertThat(channel.isReady).isTrue();
    }

    @Test
    void shouldRejectSessionForUnknownDatabase() {
        fixture.openSession("unknown", channel);
        fixture.advanceMillis(400);

        assertThat(channel.rejections).hasSize(1);
        assertThat(channel.rejections.get(0).code()).isEqualTo(FailureCode.UNKNOWN_DATABASE);
    }

    @Test
    void shouldCloseSessionAfterResultWhenStopping() {
        ClientSession session = fixture.openSession("bounded", channel);
        fixture.send(session, READ);
        session.closeWhenIdle();
        assertThat(channel.isClosed).isFalse();
        fixture.advanceMillis(30);

        assertThat(channel.results).hasSize(1);
        assertThat(channel.isClosed).isTrue();
    }

    @Test
    void shouldExecuteFirstStatementOfNewSessionWhenStopping() {
        ClientSession session = fixture.openSession("bounded", channel);
        session.closeWhenIdle();
        assertThat(channel.isClosed).isFalse();
        fixture.send(session, READ);
        fixture.advanceMillis(30);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(channel.isClosed).isTrue();
    }

    @Test
    void shouldReadAtPrimaryWhenOnlyDrainingReplicaIsLeft() {
        fixture.service.instance("b").setReplicationBlocked(true);
        fixture.service.instance("c").drain();
        fixture.group.put(fixture.service.instanceEntry("c"));
        ClientSession session = fixture.openSession("own", channel);
        fixture.send(session, WRITE);
        fixture.advanceMillis(40);
        fixture.send(session, READ);
        fixture.advanceMillis(60);

        assertThat(channel.lastResult().signature()).isEqualTo("signed-by-a");
    }

    @Test
    void shouldReleaseConnectionWhenClientDisconnectsInTransaction() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, WRITE);
        fixture.advanceMillis(50);
        session.onDisconnect();
        fixture.advanceMillis(50);
        RecordingChannel other = new RecordingChannel();
        ClientSession next = fixture.openSession("primary", other);
        fixture.send(next, WRITE);
        fixture.advanceMillis(50);

        assertThat(other.lastResult().isSuccessful()).isTrue();
    }

    @Test
    void shouldNotExecuteStatementOutsideTransactionWhenClientDisconnectsDuringSetUp() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, new Statement.Prepare("s1", true, "q1"));
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.advanceMillis(50);
        String id = fixture.send(session, new Statement.Execute("s1", "k data"));
        session.onDisconnect();
        fixture.advanceMillis(100);

        assertThat(fixture.executionCount(id)).isZero();
    }

    @Test
    void shouldNotExecuteStatementOutsideTransactionWhenItTimesOutDuringSetUp() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, new Statement.Prepare("s1", true, "q1"));
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.advanceMillis(50);
        fixture.service.instance("a").stopResponding();
        String id = fixture.send(session, new Statement.Execute("s1", "k data"));
        fixture.advanceMillis(900);
        fixture.service.instance("a").recover();
        fixture.advanceMillis(3_000);

        assertThat(channel.lastResult().hasFailureCode(FailureCode.ROLLED_BACK)).isTrue();
        assertThat(fixture.executionCount(id)).isZero();
    }

    // The vote of this process must cover a write although its client never learns of it.
    @Test
    void shouldRecordAcknowledgedWriteWhenItsClientHasGone() {
        ClientSession session = fixture.openSession("primary", channel);
        String id = fixture.send(session, WRITE);
        fixture.advanceMillis(2);
        session.onDisconnect();
        fixture.advanceMillis(100);

        assertThat(fixture.executionCount(id)).isOne();
        assertThat(isNewestCommitCovered()).isTrue();
    }

    // The vote of this process must cover a commit although its client has gone before the answer.
    @Test
    void shouldRecordAcknowledgedCommitWhenItsClientHasGone() {
        List.of("b", "c").forEach(this::delayReplication);
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, WRITE);
        fixture.advanceMillis(50);
        String id = fixture.send(session, new Statement.Commit());
        fixture.advanceMillis(20);
        session.onDisconnect();
        fixture.advanceMillis(100);

        assertThat(fixture.executionCount(id)).isOne();
        assertThat(isNewestCommitCovered()).isTrue();
    }

    private void delayReplication(String id) {
        fixture.service.instance(id).setReplicationDelay(Duration.ofMillis(50));
    }

    private boolean isNewestCommitCovered() {
        LogPosition newest = fixture.service.instance("a").receivedPosition();
        return fixture.group.pendingWrites().mayBeAcknowledged()
                || fixture.group.lastAcknowledgedPosition().isAtLeast(newest);
    }

    private String send(String database, Statement statement) {
        return fixture.send(fixture.openSession(database, channel), statement);
    }

    private void demote(String id) {
        fixture.service.instance(id).demote(Term.of(2));
    }

    private String sessionVariablesOf(String requestId) {
        String line = executedStatement(requestId);
        return line.substring(line.lastIndexOf('{'));
    }

    private String executedStatement(String requestId) {
        return fixture.service.instances().stream()
                .flatMap(i -> i.executedStatements().stream())
                .filter(line -> line.startsWith(requestId + " "))
                .findFirst()
                .orElseThrow();
    }
}
