package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.carobstage.model.AccountName;
import org.carobstage.quota.OperationLimiter.Decision;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OperationLimitTest {
    private static final Statement READ = new Statement.Read("k");
    private static final Statement WRITE = new Statement.Write("k", "data");
    private static final Statement BEGIN = new Statement.Begin(false);

    private final SessionFixture fixture = new SessionFixture();
    private final RecordingChannel channel = new RecordingChannel();
    private final List<AccountName> requests = new ArrayList<>();
    private final List<Consumer<Decision>> pending = new ArrayList<>();
    private ClientSession session;

    @BeforeEach
    void open() {
        fixture.applyAccounts("paper=k1");
        session = fixture.openSession("primary", "k1", channel);
        fixture.limiter =
                (account, callback) -> {
                    requests.add(account);
                    callback.accept(new Decision.Permitted());
                };
    }

    // Counting a retry of the proxy would reject accounts below their limits.
    @Test
    void shouldAskOnceWhenStatementIsRetried() {
        fixture.service.instance("a").failStatements(FailureCode.BUSY, 2);
        fixture.send(session, WRITE);
        fixture.advanceMillis(200);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(requests).containsExactly(AccountName.of("paper"));
    }

    // A transaction is one operation, and one that reaches no instance is none.
    @Test
    void shouldAskOncePerTransactionThatReachesAnInstance() {
        fixture.send(session, BEGIN);
        fixture.send(session, new Statement.Rollback());
        assertThat(requests).isEmpty();
        fixture.send(session, BEGIN);
        fixture.send(session, READ);
        fixture.send(session, WRITE);
        fixture.send(session, new Statement.Commit());
        fixture.advanceMillis(100);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(requests).hasSize(1);
    }

    // Sessions without an account have no limit.
    @Test
    void shouldNotAskWithoutAccount() {
        fixture.send(fixture.openSession("public", channel), READ);
        fixture.advanceMillis(50);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(requests).isEmpty();
    }

    // An operation above the limit must not run.
    @Test
    void shouldRejectWithoutRunningWhenLimitIsExceeded() {
        fixture.limiter =
                (account, callback) ->
                        callback.accept(new Decision.Rejected(Duration.ofNanos(40_000_001)));
        String single = fixture.send(session, WRITE);
        fixture.send(session, BEGIN);
        String inTransaction = fixture.send(session, WRITE);
        fixture.advanceMillis(900);

        assertThat(channel.results.get(0).failure().orElseThrow().message())
                .isEqualTo("account limit, retry after 41 ms");
        assertThat(channel.results.get(0).hasFailureCode(FailureCode.BUSY)).isTrue();
        assertThat(channel.results.get(2).hasFailureCode(FailureCode.BUSY)).isTrue();
        assertThat(fixture.executionCount(single) + fixture.executionCount(inTransaction)).isZero();
    }

    // A client must not wait longer than its timeout, nor may its statement run afterwards.
    @Test
    void shouldTimeOutWhileLimiterDecides() {
        fixture.limiter = (account, callback) -> pending.add(callback);
        String id = fixture.send(session, WRITE);
        fixture.advanceMillis(800);
        assertThat(channel.lastResult().hasFailureCode(FailureCode.BUSY)).isTrue();
        permitPending();

        assertThat(fixture.executionCount(id)).isZero();
        assertThat(channel.results).hasSize(1);
    }

    // A decision for a client that has gone must run nothing and keep no connection.
    @Test
    void shouldRunNothingWhenClientDisconnectsWhileLimiterDecides() {
        fixture.limiter = (account, callback) -> pending.add(callback);
        String single = fixture.send(session, WRITE);
        session.onDisconnect();
        ClientSession other = fixture.openSession("primary", "k1", new RecordingChannel());
        fixture.send(other, BEGIN);
        String inTransaction = fixture.send(other, WRITE);
        other.onDisconnect();
        permitPending();

        assertThat(pending).hasSize(2);
        assertThat(fixture.executionCount(single) + fixture.executionCount(inTransaction)).isZero();
        assertThat(fixture.group.waitingCount()).isZero();
        assertThat(fixture.metrics.counters().keySet())
                .noneMatch(name -> name.startsWith("account_sessions"));
    }

    private void permitPending() {
        pending.forEach(callback -> callback.accept(new Decision.Permitted()));
        fixture.advanceMillis(100);
    }
}
