package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeService;
import org.carobstage.model.AccountName;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;
import org.carobstage.upstream.ConnectionRequest.Purpose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PooledConnectionFaultTest {
    private static final InstanceId PRIMARY = InstanceId.of("a");

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeService service = FakeService.of(clock);
    private final ServiceGroup group =
            ServiceGroup.of(
                    FakeService.NAME,
                    new UpstreamContext(
                            clock,
                            this::connect,
                            FailureDomain.of("domain-b"),
                            EventLog.of(VmId.of("vm"), clock, 100),
                            false));
    private final List<PooledConnection> granted = new ArrayList<>();
    private final List<TransactionState> states = new ArrayList<>();
    private boolean connectorFails;

    @BeforeEach
    void start() {
        group.setConnectionLimit(1, 5);
        service.instances().forEach(i -> group.put(i.instanceEntry()));
        group.tick();
        clock.advance(Duration.ofMillis(50));
        group.tick();
        clock.advance(Duration.ofMillis(50));
    }

    // Guards against the loss of the only connection when a caller fails on its grant, and of the
    // grants of the requests behind it.
    @Test
    void shouldServeNextRequestWhenGrantCallbackThrows() {
        request(Duration.ofMillis(700), PooledConnection::release);
        request(
                Duration.ofMillis(800),
                c -> {
                    throw new IllegalStateException("unexpected");
                });
        request(Duration.ofMillis(900), granted::add);
        clock.advance(Duration.ofMillis(100));

        assertThat(granted).hasSize(1);
    }

    // Guards against a connection that stays in use because the receiver of a status fails.
    @Test
    void shouldReleaseConnectionWhenStatusCallbackThrows() {
        group.trySendControlCommand(
                PRIMARY,
                new Statement.QueryStatus(),
                response -> {
                    throw new IllegalStateException("unexpected");
                });
        clock.advance(Duration.ofMillis(50));
        request(Duration.ofMillis(800), granted::add);
        clock.advance(Duration.ofMillis(50));

        assertThat(granted).hasSize(1);
    }

    // Guards against a connection to a process that was replaced at the same address while the
    // connection was being opened.
    @Test
    void shouldNotUseConnectionWhoseOpeningBeganBeforeReplacement() {
        request(Duration.ofMillis(700), granted::add);
        granted.get(0).discard();
        request(Duration.ofMillis(700), granted::add);
        clock.advance(Duration.ofMillis(5));
        InstanceEntry before = service.instanceEntry("a");
        group.put(
                new InstanceEntry(
                        before.id(),
                        before.service(),
                        before.address(),
                        before.domain(),
                        before.slots(),
                        before.draining(),
                        before.primary(),
                        before.bornMillis() + 1,
                        before.heartbeat()));
        clock.advance(Duration.ofMillis(8));

        assertThat(granted).hasSize(1);
    }

    // Guards against the use of an instance that was removed while a connection was being opened.
    @Test
    void shouldNotUseConnectionWhenInstanceWasRemovedDuringOpening() {
        request(Duration.ofMillis(700), granted::add);
        granted.get(0).discard();
        request(Duration.ofMillis(700), granted::add);
        group.remove(PRIMARY);
        clock.advance(Duration.ofMillis(100));

        assertThat(granted).hasSize(1);
        assertThat(service.instance("a").openConnectionCount()).isZero();
    }

    // Guards against a holder that frees the connection of the next one, whose transaction a third
    // one would then run its statements in.
    @Test
    void shouldKeepConnectionOfNextHolderWhenFormerHolderReleasesAgain() {
        request(Duration.ofMillis(700), granted::add);
        PooledConnection former = granted.get(0);
        former.release();
        request(Duration.ofMillis(700), granted::add);
        send(granted.get(1), "begin", new Statement.Begin(false));
        clock.advance(Duration.ofMillis(20));
        former.release();
        former.discard();
        send(former, "late", new Statement.Write("k", "late"));
        request(Duration.ofMillis(700), granted::add);
        clock.advance(Duration.ofMillis(50));

        assertThat(granted).hasSize(2);
        assertThat(granted.get(1).isOpen()).isTrue();
        assertThat(executedIds()).containsExactly("begin");
    }

    // Guards against a transaction that stays open because its rollback was refused, and in which
    // the statements of the next holder would run.
    @Test
    void shouldNotReuseConnectionWhenRollbackIsRejected() {
        request(Duration.ofMillis(700), granted::add);
        send(granted.get(0), "begin", new Statement.Begin(false));
        clock.advance(Duration.ofMillis(20));
        service.instance("a").failStatements(FailureCode.BUSY, 1);
        granted.get(0).release("rollback");
        clock.advance(Duration.ofMillis(20));
        request(Duration.ofMillis(700), c -> send(c, "read", new Statement.Read("k")));
        clock.advance(Duration.ofMillis(200));

        assertThat(executedIds()).containsExactly("begin", "read");
        assertThat(states).last().isEqualTo(TransactionState.IDLE);
    }

    // Guards against a transaction whose begin is unanswered when its holder gives it up.
    @Test
    void shouldNotReuseConnectionWhenStatementIsUnanswered() {
        request(Duration.ofMillis(700), granted::add);
        send(granted.get(0), "begin", new Statement.Begin(false));
        granted.get(0).release();
        request(Duration.ofMillis(700), c -> send(c, "read", new Statement.Read("k")));
        clock.advance(Duration.ofMillis(200));

        assertThat(states).last().isEqualTo(TransactionState.IDLE);
    }

    // Guards against a pool that never opens a connection again after an unexpected error.
    @Test
    void shouldOpenConnectionWhenConnectorHasThrown() {
        request(Duration.ofMillis(700), PooledConnection::discard);
        connectorFails = true;
        group.tick();
        request(Duration.ofMillis(700), granted::add);
        clock.advance(Duration.ofMillis(20));
        connectorFails = false;
        clock.advance(Duration.ofMillis(200));
        group.tick();
        clock.advance(Duration.ofMillis(50));

        assertThat(granted).hasSize(1);
    }

    // Guards against work in progress that is given up because this process was paused, not
    // because the removed instance is silent.
    @Test
    void shouldAwaitResultOfRemovedInstanceWhenProcessWasPaused() {
        request(Duration.ofMillis(700), granted::add);
        group.remove(PRIMARY);
        clock.advance(Duration.ofMillis(2_000));
        service.instance("a").setStatementDuration(Duration.ofMillis(1_000));
        send(granted.get(0), "write", new Statement.Write("k", "v"));
        clock.advance(Duration.ofMillis(100));
        clock.pause(Duration.ofSeconds(4));
        group.resetTimersAfterPause();
        group.tick();
        clock.advance(Duration.ofMillis(100));

        assertThat(states).hasSize(1);
    }

    private void connect(
            InstanceEntry target,
            Optional<AccountName> account,
            Duration timeout,
            InstanceConnector.Listener listener) {
        if (connectorFails) {
            throw new IllegalStateException("unexpected");
        }
        service.connector().connect(target, account, timeout, listener);
    }

    private void send(PooledConnection connection, String id, Statement statement) {
        connection.send(
                id,
                Optional.empty(),
                statement,
                result -> result.map(StatementResult::transactionState).ifPresent(states::add));
    }

    private List<String> executedIds() {
        return service.instance("a").executedStatements().stream()
                .map(s -> s.substring(0, s.indexOf(' ')))
                .toList();
    }

    private void request(Duration timeout, Consumer<PooledConnection> onGranted) {
        group.acquire(
                new ConnectionRequest(
                        Purpose.PRIMARY,
                        new HashSet<>(),
                        Map.of(),
                        clock.nanoTime() + timeout.toNanos(),
                        onGranted,
                        reason -> {}));
    }
}
