package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
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
        fixture.run(20);

        assertThat(channel.last().signature()).isEqualTo("signed-by-b");
    }

    @Test
    void shouldReadAtLocalReplicaOnPrimaryRouteWhenItHoldsEveryCommit() {
        send("primary", READ);
        fixture.run(20);

        assertThat(channel.last().signature()).isEqualTo("signed-by-b");
    }

    @Test
    void shouldReadAtPrimaryOnPrimaryRouteWhenLocalReplicaLacksNewestCommit() {
        fixture.service.instance("b").setDeaf(true);
        ClientSession writer = fixture.open("primary", new RecordingChannel());
        fixture.send(writer, WRITE);
        fixture.run(20);
        send("primary", READ);
        fixture.run(40);

        assertThat(channel.last().signature()).isEqualTo("signed-by-a");
    }

    @Test
    void shouldNotReadAtReplacedPrimary() {
        ClientSession session = fixture.open("primary", channel);
        fixture.service.instance("b").lead(Term.of(2));
        fixture.service.instance("a").lead(Term.of(1));
        demote("a");
        fixture.send(session, READ);
        fixture.run(400);

        assertThat(channel.last().signature()).isEqualTo("signed-by-b");
    }

    @Test
    void shouldSeeOwnWriteWhenLocalReplicaLags() {
        ClientSession session = fixture.open("own", channel);
        fixture.service.instance("b").setDeaf(true);
        fixture.send(session, WRITE);
        fixture.run(30);
        fixture.send(session, READ);
        fixture.run(60);

        assertThat(channel.last().succeeded()).isTrue();
        assertThat(channel.last().signature()).isNotEqualTo("signed-by-b");
    }

    @Test
    void shouldRefuseReplicaWhenEvidenceIsOlderThanBound() {
        ClientSession session = fixture.open("bounded", channel);
        fixture.service.instance("b").setDeaf(true);
        fixture.service.instance("c").setDeaf(true);
        fixture.service.instance("a").receive(org.carobstage.model.LogPosition.of(1, 50));
        fixture.run(3_000);
        fixture.send(session, READ);
        fixture.run(100);

        assertThat(channel.last().signature()).isEqualTo("signed-by-a");
    }

    @Test
    void shouldRepeatReadElsewhereWhenAnswerIsLost() {
        fixture.service.instance("b").loseAnswers(1);
        send("bounded", READ);
        fixture.run(60);

        assertThat(channel.last().succeeded()).isTrue();
    }

    @Test
    void shouldHedgeReadWhenInstanceIsSilent() {
        ClientSession session = fixture.open("bounded", channel);
        fixture.service.instance("b").goDark();
        fixture.send(session, READ);
        fixture.run(200);

        assertThat(channel.last().succeeded()).isTrue();
    }

    @Test
    void shouldTellOutcomeIsUnknownAtOnceWhenAnswerToWriteIsLost() {
        fixture.service.instance("a").loseAnswers(1);
        String id = send("primary", WRITE);
        fixture.run(20);

        assertThat(channel.last().failedWith(FailureCode.OUTCOME_UNKNOWN)).isTrue();
        fixture.run(2_000);
        assertThat(fixture.runs(id)).isEqualTo(1);
        assertThat(channel.answers).hasSize(1);
    }

    @Test
    void shouldSendWriteAgainWhenInstanceWasBusy() {
        fixture.service.instance("a").refuse(FailureCode.BUSY, 2);
        String id = send("primary", WRITE);
        fixture.run(200);

        assertThat(channel.last().succeeded()).isTrue();
        assertThat(fixture.runs(id)).isEqualTo(1);
    }

    @Test
    void shouldTellOutcomeIsUnknownWhenWriteIsNotAnsweredInTime() {
        fixture.service.instance("b").setDeaf(true);
        fixture.service.instance("c").setDeaf(true);
        send("primary", WRITE);
        fixture.run(900);

        assertThat(channel.last().failedWith(FailureCode.OUTCOME_UNKNOWN)).isTrue();
    }

    @Test
    void shouldRefuseWriteWithoutRunningItWhenPrimaryIsLost() {
        ClientSession session = fixture.open("primary", channel);
        fixture.service.instance("a").crash();
        fixture.run(600);
        String id = fixture.send(session, WRITE);

        assertThat(channel.last().failedWith(FailureCode.BUSY)).isTrue();
        fixture.run(3_000);
        assertThat(fixture.runs(id)).isZero();
    }

    @Test
    void shouldKeepTransactionOnOneConnectionAndReportItsState() {
        ClientSession session = fixture.open("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.send(session, WRITE);
        fixture.send(session, new Statement.Commit());
        fixture.run(100);

        assertThat(channel.answers)
                .extracting(a -> a.state())
                .containsExactly(
                        TransactionState.OPEN,
                        TransactionState.OPEN,
                        TransactionState.OPEN,
                        TransactionState.IDLE);
        assertThat(channel.last().signature()).isEqualTo("signed-by-a");
    }

    @Test
    void shouldPromiseRollbackWhenConnectionIsLostBeforeCommit() {
        ClientSession session = fixture.open("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, WRITE);
        fixture.run(50);
        fixture.service.instance("a").loseAnswers(1);
        fixture.send(session, WRITE);
        fixture.run(50);

        assertThat(channel.last().failedWith(FailureCode.ROLLED_BACK)).isTrue();
        assertThat(channel.last().state()).isEqualTo(TransactionState.FAILED);
        fixture.send(session, new Statement.Rollback());
        assertThat(channel.last().state()).isEqualTo(TransactionState.IDLE);
    }

    @Test
    void shouldTellOutcomeIsUnknownWhenAnswerToCommitIsLost() {
        ClientSession session = fixture.open("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, WRITE);
        fixture.run(50);
        fixture.service.instance("a").loseAnswers(1);
        fixture.send(session, new Statement.Commit());
        fixture.run(50);

        assertThat(channel.last().failedWith(FailureCode.OUTCOME_UNKNOWN)).isTrue();
        assertThat(channel.last().state()).isEqualTo(TransactionState.IDLE);
    }

    @Test
    void shouldPauseBeforeBusyPrimaryIsAskedForProofAgain() {
        int before = fixture.service.instance("a").statusQuestions();
        fixture.service.instance("a").refuseStatus(1_000);
        send("primary", READ);
        fixture.run(400);
        assertThat(fixture.service.instance("a").statusQuestions() - before).isBetween(5, 25);
        fixture.service.instance("a").refuseStatus(0);
        fixture.run(100);

        assertThat(channel.last().succeeded()).isTrue();
    }

    @Test
    void shouldRepeatStatementOfTransactionWhenInstanceWasBusy() {
        ClientSession session = fixture.open("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.run(50);
        fixture.service.instance("a").refuse(FailureCode.BUSY, 3);
        String id = fixture.send(session, WRITE);
        fixture.run(200);
        assertThat(channel.last().succeeded()).isTrue();
        assertThat(channel.last().state()).isEqualTo(TransactionState.OPEN);
        fixture.send(session, new Statement.Commit());
        fixture.run(50);

        assertThat(channel.last().succeeded()).isTrue();
        assertThat(fixture.runs(id)).isEqualTo(1);
    }

    @Test
    void shouldRefuseStatementOfTransactionWhenInstanceStaysBusy() {
        ClientSession session = fixture.open("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.run(50);
        fixture.service.instance("a").refuse(FailureCode.BUSY, 1_000);
        String id = fixture.send(session, WRITE);
        fixture.run(2_000);

        assertThat(channel.last().failedWith(FailureCode.ROLLED_BACK)).isTrue();
        assertThat(channel.last().failure().get().text()).contains("primary=a", "waiting=0");
        assertThat(fixture.runs(id)).isZero();
    }

    @Test
    void shouldNeverCommitFailedTransaction() {
        ClientSession session = fixture.open("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.run(50);
        fixture.service.instance("a").refuse(FailureCode.FAILED, 1);
        fixture.send(session, WRITE);
        fixture.run(50);
        fixture.send(session, WRITE);
        assertThat(channel.last().failedWith(FailureCode.MALFORMED)).isTrue();
        fixture.send(session, new Statement.Commit());

        assertThat(channel.last().failedWith(FailureCode.ROLLED_BACK)).isTrue();
        assertThat(channel.last().state()).isEqualTo(TransactionState.IDLE);
    }

    @Test
    void shouldRollBackIdleTransaction() {
        ClientSession session = fixture.open("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, WRITE);
        fixture.run(4_000);
        fixture.send(session, READ);

        assertThat(channel.last().failedWith(FailureCode.ROLLED_BACK)).isTrue();
    }

    @Test
    void shouldGiveEachStatementItsSessionsValues() {
        RecordingChannel other = new RecordingChannel();
        ClientSession first = fixture.open("bounded", channel);
        ClientSession second = fixture.open("bounded", other);
        fixture.send(first, new Statement.SetValue("zone", "one"));
        String one = fixture.send(first, READ);
        fixture.run(30);
        String two = fixture.send(second, READ);
        fixture.run(30);
        fixture.send(first, new Statement.SetValue("zone", "two"));
        String three = fixture.send(first, READ);
        fixture.run(30);

        assertThat(valuesOf(one)).isEqualTo("{zone=one}");
        assertThat(valuesOf(two)).isEqualTo("{}");
        assertThat(valuesOf(three)).isEqualTo("{zone=two}");
    }

    @Test
    void shouldKeepPreparedStatementsApartWhenNamesCollide() {
        RecordingChannel other = new RecordingChannel();
        ClientSession first = fixture.open("bounded", channel);
        ClientSession second = fixture.open("bounded", other);
        fixture.send(first, new Statement.Prepare("s1", false, "q1"));
        fixture.send(second, new Statement.Prepare("s1", false, "q2"));
        String one = fixture.send(first, new Statement.Execute("s1", "k"));
        String two = fixture.send(second, new Statement.Execute("s1", "k"));
        fixture.run(60);

        assertThat(lineOf(one)).contains("name=r_q1");
        assertThat(lineOf(two)).contains("name=r_q2");
    }

    @Test
    void shouldRefuseUnknownPreparedStatement() {
        send("bounded", new Statement.Execute("s9", "k"));

        assertThat(channel.last().failedWith(FailureCode.NOT_PREPARED)).isTrue();
    }

    @Test
    void shouldWaitForRouteThatIsUnderWay() {
        RouteTable full = fixture.routes;
        fixture.routes = new RouteTable(0, Map.of(), Map.of(), Duration.ofSeconds(3));
        fixture.open("bounded", channel);
        fixture.run(100);
        fixture.routes = full;
        fixture.run(100);

        assertThat(channel.ready).isTrue();
    }

    @Test
    void shouldRejectSessionForUnknownDatabase() {
        fixture.open("unknown", channel);
        fixture.run(400);

        assertThat(channel.rejections).hasSize(1);
        assertThat(channel.rejections.get(0).code()).isEqualTo(FailureCode.UNKNOWN_DATABASE);
    }

    @Test
    void shouldCloseSessionAfterAnswerWhenStopping() {
        ClientSession session = fixture.open("bounded", channel);
        fixture.send(session, READ);
        session.closeWhenIdle();
        assertThat(channel.closed).isFalse();
        fixture.run(30);

        assertThat(channel.answers).hasSize(1);
        assertThat(channel.closed).isTrue();
    }

    @Test
    void shouldLetNewSessionSendItsStatementWhenStopping() {
        ClientSession session = fixture.open("bounded", channel);
        session.closeWhenIdle();
        assertThat(channel.closed).isFalse();
        fixture.send(session, READ);
        fixture.run(30);

        assertThat(channel.last().succeeded()).isTrue();
        assertThat(channel.closed).isTrue();
    }

    @Test
    void shouldReadAtPrimaryWhenOnlyDrainingReplicaIsLeft() {
        fixture.service.instance("b").setDeaf(true);
        fixture.service.instance("c").drain();
        fixture.group.put(fixture.service.entry("c"));
        ClientSession session = fixture.open("own", channel);
        fixture.send(session, WRITE);
        fixture.run(40);
        fixture.send(session, READ);
        fixture.run(60);

        assertThat(channel.last().signature()).isEqualTo("signed-by-a");
    }

    @Test
    void shouldFreeConnectionWhenClientLeavesInTransaction() {
        ClientSession session = fixture.open("primary", channel);
        fixture.send(session, BEGIN);
        fixture.send(session, WRITE);
        fixture.run(50);
        session.disconnected();
        fixture.run(50);
        RecordingChannel other = new RecordingChannel();
        ClientSession next = fixture.open("primary", other);
        fixture.send(next, WRITE);
        fixture.run(50);

        assertThat(other.last().succeeded()).isTrue();
    }

    @Test
    void shouldNotRunStatementOutsideTransactionWhenClientLeavesDuringSetUp() {
        ClientSession session = fixture.open("primary", channel);
        fixture.send(session, new Statement.Prepare("s1", true, "q1"));
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.run(50);
        String id = fixture.send(session, new Statement.Execute("s1", "k data"));
        session.disconnected();
        fixture.run(100);

        assertThat(fixture.runs(id)).isZero();
    }

    @Test
    void shouldNotRunStatementOutsideTransactionWhenItTimesOutDuringSetUp() {
        ClientSession session = fixture.open("primary", channel);
        fixture.send(session, new Statement.Prepare("s1", true, "q1"));
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.run(50);
        fixture.service.instance("a").goDark();
        String id = fixture.send(session, new Statement.Execute("s1", "k data"));
        fixture.run(900);
        fixture.service.instance("a").comeBack();
        fixture.run(3_000);

        assertThat(channel.last().failedWith(FailureCode.ROLLED_BACK)).isTrue();
        assertThat(fixture.runs(id)).isZero();
    }

    private String send(String database, Statement statement) {
        return fixture.send(fixture.open(database, channel), statement);
    }

    private void demote(String id) {
        fixture.service.instance(id).demote(Term.of(2));
    }

    private String valuesOf(String request) {
        String line = lineOf(request);
        return line.substring(line.lastIndexOf('{'));
    }

    private String lineOf(String request) {
        return fixture.service.instances().stream()
                .flatMap(i -> i.ran().stream())
                .filter(line -> line.startsWith(request + " "))
                .findFirst()
                .orElseThrow();
    }
}
