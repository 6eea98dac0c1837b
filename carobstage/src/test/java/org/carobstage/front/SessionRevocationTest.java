package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.carobstage.quota.OperationLimiter.Decision;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.TransactionState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SessionRevocationTest {
    private static final Statement READ = new Statement.Read("k");
    private static final Statement WRITE = new Statement.Write("k", "data");
    private static final Statement BEGIN = new Statement.Begin(false);
    private static final Statement COMMIT = new Statement.Commit();

    private final SessionFixture fixture = new SessionFixture();
    private final RecordingChannel channel = new RecordingChannel();
    private final List<Consumer<Decision>> decisions = new ArrayList<>();
    private ClientSession session;

    private long earlierCommits;

    @BeforeEach
    void open() {
        fixture.applyAccounts("paper=k1");
        session = fixture.openSession("primary", "k1", channel);
        // Opens the connection of the account, so that later statements are sent at once.
        fixture.send(session, WRITE);
        fixture.advanceMillis(100);
        channel.results.clear();
        earlierCommits = commitsOfService();
    }

    // A client must not keep a session under a key that is not trusted any more.
    @Test
    void shouldCloseIdleSessionAtOnce() {
        assertThat(fixture.applyAccounts("paper=k2"))
                .contains("version=3 sessions=1 accounts=1 names=[paper]");
        assertThat(channel.isClosed).isTrue();
        assertThat(channel.results).isEmpty();
    }

    // The account of a session is fixed, so statements would be counted for the wrong one.
    @Test
    void shouldCloseSessionWhenKeyMovesToAnotherAccount() {
        fixture.applyAccounts("print=k1");

        assertThat(channel.isClosed).isTrue();
    }

    // An exception in one session must not keep the others open under a revoked key.
    @Test
    void shouldCloseOtherSessionsWhenOneFails() {
        RecordingChannel other = new RecordingChannel();
        ClientSession second = fixture.openSession("primary", "k1", other);
        channel.isFailing = true;

        assertThat(fixture.applyAccounts()).get().asString().contains("sessions=2", "failed=1");
        assertThat(other.isClosed).isTrue();
        channel.isFailing = false;
        String id = fixture.send(session, WRITE);
        fixture.send(second, WRITE);
        fixture.advanceMillis(100);
        assertThat(fixture.executionCount(id)).isZero();
    }

    // An unrelated change must not end sessions.
    @Test
    void shouldKeepSessionWhenItsAccountGetsAnotherKey() {
        fixture.applyAccounts("print=k2", "paper=k1");

        assertThat(channel.isClosed).isFalse();
    }

    // The outcome of a write that was sent must reach its client; the queued ones must not run.
    @Test
    void shouldCompleteStatementInProgressAndAnswerQueuedOnesWithoutRunningThem() {
        fixture.send(session, WRITE);
        String queued = fixture.send(session, WRITE);
        fixture.send(session, BEGIN);
        fixture.advanceMillis(2);
        fixture.applyAccounts();
        fixture.advanceMillis(100);

        assertThat(channel.results.get(0).isSuccessful()).isTrue();
        assertThat(codes().subList(1, 3)).containsOnly(FailureCode.BUSY);
        assertThat(fixture.executionCount(queued)).isZero();
        assertThat(channel.isClosed).isTrue();
    }

    // A retry after the revocation would run a statement of a revoked key.
    @Test
    void shouldNotRetryStatementThatInstanceRejects() {
        fixture.service.instance("a").failStatements(FailureCode.BUSY, 1);
        String id = fixture.send(session, WRITE);
        fixture.advanceMillis(2);
        fixture.applyAccounts();
        fixture.advanceMillis(500);

        assertThat(codes()).containsExactly(FailureCode.BUSY);
        assertThat(fixture.executionCount(id)).isZero();
        assertThat(channel.isClosed).isTrue();
    }

    // A statement that waits inside the proxy has not started.
    @Test
    void shouldRejectStatementThatWaitsForConnection() {
        fixture.group.setConnectionLimit(1, 5);
        RecordingChannel other = new RecordingChannel();
        ClientSession holder = fixture.openSession("public", other);
        fixture.send(holder, BEGIN);
        fixture.send(holder, WRITE);
        fixture.advanceMillis(300);
        String id = fixture.send(session, WRITE);
        fixture.advanceMillis(5);
        fixture.applyAccounts();

        assertThat(codes()).containsExactly(FailureCode.BUSY);
        assertThat(channel.lastResult().failure().orElseThrow().message())
                .isEqualTo(EndingSession.Reason.REVOKED.text());
        assertThat(channel.isClosed).isTrue();
        assertThat(fixture.group.waitingCount()).isZero();
        fixture.send(holder, COMMIT);
        fixture.advanceMillis(1_000);
        assertThat(fixture.executionCount(id)).isZero();
        assertThat(other.lastResult().isSuccessful()).isTrue();
    }

    // A late decision of the limiter must not start a statement of a revoked key.
    @Test
    void shouldRejectStatementThatWaitsForLimiter() {
        fixture.limiter = (account, callback) -> decisions.add(callback);
        String id = fixture.send(session, WRITE);
        fixture.advanceMillis(10);
        fixture.applyAccounts();
        decisions.forEach(d -> d.accept(new Decision.Permitted()));
        fixture.advanceMillis(100);

        assertThat(codes()).containsExactly(FailureCode.BUSY);
        assertThat(channel.lastResult().failure().orElseThrow().message())
                .isEqualTo(EndingSession.Reason.REVOKED.text());
        assertThat(fixture.executionCount(id)).isZero();
        assertThat(channel.isClosed).isTrue();
    }

    // A client that continues its transaction must learn that nothing of it is kept.
    @Test
    void shouldRollBackOpenTransactionAndTellClientAtItsNextStatement() {
        fixture.send(session, BEGIN);
        String write = fixture.send(session, WRITE);
        fixture.advanceMillis(50);
        fixture.applyAccounts();
        fixture.advanceMillis(50);
        assertThat(channel.isClosed).isFalse();
        long commits = committed();
        fixture.send(session, COMMIT);

        assertThat(fixture.executionCount(write)).isOne();
        assertThat(channel.lastResult().hasFailureCode(FailureCode.ROLLED_BACK)).isTrue();
        assertThat(channel.lastResult().transactionState()).isEqualTo(TransactionState.IDLE);
        assertThat(channel.isClosed).isTrue();
        fixture.advanceMillis(100);
        assertThat(committed()).isEqualTo(commits);
    }

    // A client that never continues its transaction must not hold a session of a revoked key.
    @Test
    void shouldCloseSessionWhenClientDoesNotContinueItsTransaction() {
        fixture.send(session, BEGIN);
        fixture.applyAccounts();
        fixture.advanceMillis(10_000);

        assertThat(channel.isClosed).isTrue();
    }

    // The rest of a pipelined transaction must not be committed without its first part.
    @Test
    void shouldRollBackPipelinedTransactionWhenItsStatementHasCompleted() {
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.advanceMillis(50);
        fixture.send(session, WRITE);
        fixture.send(session, WRITE);
        fixture.send(session, COMMIT);
        fixture.send(session, READ);
        fixture.applyAccounts();
        fixture.advanceMillis(50);

        assertThat(channel.results.get(2).isSuccessful()).isTrue();
        assertThat(codes().subList(3, 6))
                .containsExactly(
                        FailureCode.ROLLED_BACK, FailureCode.ROLLED_BACK, FailureCode.BUSY);
        assertThat(committed()).isZero();
        assertThat(channel.isClosed).isTrue();
    }

    // The outcome of a commit that was sent must not be reported as a rollback.
    @Test
    void shouldDeliverCommitInProgress() {
        fixture.send(session, BEGIN);
        fixture.send(session, WRITE);
        fixture.advanceMillis(50);
        fixture.send(session, COMMIT);
        fixture.applyAccounts();
        fixture.advanceMillis(50);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(committed()).isOne();
        assertThat(channel.isClosed).isTrue();
    }

    // A transaction that waits for its first connection must not begin under a revoked key.
    @Test
    void shouldRollBackTransactionThatWaitsForLimiter() {
        fixture.limiter = (account, callback) -> decisions.add(callback);
        fixture.send(session, BEGIN);
        String id = fixture.send(session, WRITE);
        fixture.applyAccounts();
        decisions.forEach(d -> d.accept(new Decision.Permitted()));
        fixture.advanceMillis(100);

        assertThat(channel.lastResult().hasFailureCode(FailureCode.ROLLED_BACK)).isTrue();
        assertThat(fixture.executionCount(id)).isZero();
        assertThat(channel.isClosed).isTrue();
    }

    private List<FailureCode> codes() {
        return channel.results.stream()
                .map(r -> r.failure().map(f -> f.code()).orElse(null))
                .toList();
    }

    private long committed() {
        return commitsOfService() - earlierCommits;
    }

    private long commitsOfService() {
        return fixture.service.instance("a").receivedPosition().offset();
    }
}
