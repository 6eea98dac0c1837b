package org.carobstage.front;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.carobstage.event.EventCode;
import org.carobstage.freshness.ClockReading;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.route.Consistency;
import org.carobstage.route.Route;
import org.carobstage.runtime.Clock;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;
import org.carobstage.upstream.CommitCircuitBreaker;
import org.carobstage.upstream.ConnectionRequest;
import org.carobstage.upstream.ConnectionRequest.Purpose;
import org.carobstage.upstream.PooledConnection;
import org.carobstage.upstream.ServiceGroup;

/**
 * A client's transaction. It takes a connection with its first statement and keeps it to its end. A
 * transaction that fails before its commit was sent is rolled back, so nothing of it is kept.
 */
final class ClientTransaction {
    private static final int MAX_ATTEMPTS = 8;
    private static final Duration BUSY_PAUSE = Duration.ofMillis(10);

    private final SessionContext context;
    private final Route route;
    private final ServiceGroup group;
    private final ClientSession session;
    private final String beginId;
    private final Statement.Begin begin;
    private final boolean replicaAllowed;
    private final Set<InstanceId> avoid = new HashSet<>();
    private Optional<PooledConnection> connection = Optional.empty();
    private Optional<ConnectionRequest> waiting = Optional.empty();
    private Optional<Clock.Timer> statementTimer = Optional.empty();
    private Optional<Clock.Timer> idleTimer = Optional.empty();
    private Optional<Clock.Timer> repeatTimer = Optional.empty();
    private Optional<Consumer<StatementResult>> pending = Optional.empty();
    private Optional<CommitCircuitBreaker.InFlightCommit> ticket = Optional.empty();
    private Statement current;
    private Optional<PreparedStatement> currentPrepared = Optional.empty();
    private String currentId = "";
    private ClockReading started;
    private int attempts;
    private boolean sent;
    private boolean wrote;
    private boolean failed;
    private boolean notice;
    private boolean ended;

    ClientTransaction(
            SessionContext context,
            Route route,
            ServiceGroup group,
            ClientSession session,
            String beginId,
            Statement.Begin begin) {
        this.context = context;
        this.route = route;
        this.group = group;
        this.session = session;
        this.beginId = beginId;
        this.begin = begin;
        this.replicaAllowed = begin.isReadOnly() && route.consistency() != Consistency.PRIMARY;
        startIdleTimer();
    }

    boolean isFailed() {
        return failed;
    }

    /** Tells once whether the client has yet to learn that the transaction was rolled back. */
    boolean pollRollbackNotification() {
        boolean untold = notice;
        notice = false;
        return untold;
    }

    /** Runs a statement or the commit; the answer has the state of the transaction. */
    void execute(
            String id,
            Statement statement,
            Optional<PreparedStatement> prepared,
            Consumer<StatementResult> then) {
        idleTimer.ifPresent(Clock.Timer::cancel);
        pending = Optional.of(then);
        current = statement;
        currentPrepared = prepared;
        currentId = id;
        sent = false;
        attempts = 0;
        started = ClockReading.now(context.clock());
        statementTimer = Optional.of(context.clock().schedule(this::expire, route.timeout()));
        if (connection.isPresent()) {
            forward(connection.get(), prepared);
        } else {
            open(prepared);
        }
    }

    /**
     * Rolls the transaction back.
     *
     * @param id the id of the client's request, or empty if the client has left
     */
    void rollback(String id) {
        ended = true;
        stopTimers();
        waiting.ifPresent(group::cancel);
        boolean committing = sent && current instanceof Statement.Commit;
        if (!committing) {
            connection.ifPresent(c -> releaseOrDiscard(c, id));
        }
        stopRepeating();
        pending = Optional.empty();
    }

    /** Rolls the transaction back and lets the client know with its next statement. */
    void abort(String reason) {
        if (ended || failed || pending.isPresent()) {
            return;
        }
        log(EventCode.TRANSACTION_ROLLED_BACK, "reason=" + reason);
        failed = true;
        notice = true;
        stopTimers();
        connection.ifPresent(PooledConnection::release);
        connection = Optional.empty();
    }

    /** A statement in progress may still be set up on the connection, so nobody else gets it. */
    private void releaseOrDiscard(PooledConnection c, String id) {
        if (pending.isPresent() && repeatTimer.isEmpty()) {
            c.discard();
        } else {
            c.release(id);
        }
    }

    private void open(Optional<PreparedStatement> prepared) {
        if (ended || pending.isEmpty()) {
            return;
        }
        attempts++;
        Optional<LogPosition> required =
                replicaAllowed
                        ? group.primaryPositions()
                                .oldestWithin(route.maxStaleness(), started)
                                .map(ObservedPosition::position)
                                .map(p -> p.max(session.lastWritePosition()))
                        : Optional.empty();
        boolean atPrimary = required.isEmpty() || !group.hasOtherInstance(avoid);
        ConnectionRequest request =
                new ConnectionRequest(
                        atPrimary ? Purpose.PRIMARY_TRANSACTION : Purpose.TRANSACTION,
                        avoid,
                        session.sessionVariables(),
                        started.monotonicNanos() + route.timeout().toNanos(),
                        granted -> {
                            waiting = Optional.empty();
                            begin(granted, atPrimary ? Optional.empty() : required, prepared);
                        },
                        reason -> {
                            waiting = Optional.empty();
                            fail(FailureCode.BUSY, reason);
                        });
        waiting = Optional.of(request);
        group.acquire(request);
    }

    private void begin(
            PooledConnection granted,
            Optional<LogPosition> required,
            Optional<PreparedStatement> prepared) {
        ConnectionSetup.apply(
                granted,
                session.sessionVariables(),
                prepared,
                ready -> {
                    if (!ready) {
                        reopen(prepared, "connection lost in set-up", Duration.ZERO);
                    } else if (ended || pending.isEmpty()) {
                        granted.release();
                    } else {
                        sendBegin(granted, required, prepared);
                    }
                });
    }

    private void sendBegin(
            PooledConnection granted,
            Optional<LogPosition> required,
            Optional<PreparedStatement> prepared) {
        boolean atReplica = required.isPresent();
        granted.send(
                atReplica == begin.isReadOnly() ? beginId : "",
                required,
                new Statement.Begin(atReplica),
                answer -> {
                    boolean begun = answer.filter(StatementResult::isSuccessful).isPresent();
                    if (!begun || ended || pending.isEmpty()) {
                        granted.release();
                    }
                    if (ended || pending.isEmpty()) {
                        return;
                    }
                    if (begun) {
                        connection = Optional.of(granted);
                        forward(granted, prepared);
                        return;
                    }
                    boolean moved =
                            answer.filter(a -> a.hasFailureCode(FailureCode.NOT_PRIMARY))
                                    .isPresent();
                    if (!moved && required.isPresent()) {
                        avoid.add(granted.instance().id());
                    }
                    reopen(prepared, "begin failed", moved ? Duration.ZERO : BUSY_PAUSE);
                });
    }

    private void reopen(Optional<PreparedStatement> prepared, String reason, Duration pause) {
        if (ended || pending.isEmpty()) {
            return;
        }
        if (attempts >= MAX_ATTEMPTS) {
            fail(FailureCode.BUSY, reason + ", attempts=" + attempts);
            return;
        }
        log(EventCode.STATEMENT_RETRIED, "attempt=" + attempts + " reason: " + reason);
        context.clock().schedule(() -> open(prepared), pause);
    }

    private void forward(PooledConnection c, Optional<PreparedStatement> prepared) {
        ConnectionSetup.apply(
                c,
                session.sessionVariables(),
                prepared,
                ready -> {
                    if (pending.isEmpty()) {
                        return;
                    }
                    if (!ready) {
                        connection = Optional.empty();
                        fail(FailureCode.ROLLED_BACK, "connection lost in set-up");
                        return;
                    }
                    boolean commit = current instanceof Statement.Commit;
                    wrote |=
                            current instanceof Statement.Write
                                    || prepared.map(PreparedStatement::isWrite).orElse(false);
                    if (commit && wrote && !group.tryAcquireWritePermission(c.instance().id())) {
                        fail(FailureCode.ROLLED_BACK, "commits are not acknowledged");
                        return;
                    }
                    sent = true;
                    if (commit && wrote) {
                        ticket = Optional.of(group.trackCommit());
                    }
                    c.send(
                            currentId,
                            Optional.empty(),
                            session.withSharedName(current, prepared),
                            answer -> answered(c, answer));
                });
    }

    private void answered(PooledConnection c, Optional<StatementResult> answer) {
        sent = false;
        ticket.ifPresent(t -> t.complete(answer.isPresent()));
        boolean commit = current instanceof Statement.Commit;
        if (pending.isEmpty()) {
            c.release();
            return;
        }
        if (answer.isEmpty()) {
            connection = Optional.empty();
            boolean unknown = commit && wrote;
            fail(
                    unknown ? FailureCode.OUTCOME_UNKNOWN : FailureCode.ROLLED_BACK,
                    "connection lost, instance=" + c.instance().id());
            return;
        }
        StatementResult a = answer.get();
        if (a.hasFailureCode(FailureCode.BUSY) && a.transactionState() == TransactionState.OPEN) {
            forwardAgain(c);
            return;
        }
        if (!a.isSuccessful()) {
            log(
                    EventCode.STATEMENT_FAILED,
                    "instance="
                            + c.instance().id()
                            + " code="
                            + a.failure().get().code()
                            + " state="
                            + a.transactionState());
            finishFailed(a);
            return;
        }
        if (commit) {
            if (wrote) {
                a.logPosition().ifPresent(session::recordWrite);
                a.logPosition().ifPresent(group::recordAcknowledgedCommit);
            }
            ended = true;
            connection = Optional.empty();
            c.release();
        }
        deliver(a.withTransactionState(commit ? TransactionState.IDLE : TransactionState.OPEN));
    }

    /** The statement has not run and the transaction stands, so its connection is asked again. */
    private void forwardAgain(PooledConnection c) {
        attempts++;
        log(
                EventCode.STATEMENT_RETRIED,
                "attempt=" + attempts + " reason: instance=" + c.instance().id() + " code=BUSY");
        Duration pause = BUSY_PAUSE.multipliedBy(Math.min(attempts, MAX_ATTEMPTS));
        repeatTimer =
                Optional.of(
                        context.clock()
                                .schedule(
                                        () -> {
                                            repeatTimer = Optional.empty();
                                            forward(c, currentPrepared);
                                        },
                                        pause));
    }

    private void expire() {
        if (pending.isEmpty()) {
            return;
        }
        waiting.ifPresent(group::cancel);
        String reason =
                "timeout_ms="
                        + route.timeout().toMillis()
                        + " sent="
                        + sent
                        + " attempts="
                        + attempts
                        + " "
                        + group.describe();
        boolean unknown = sent && current instanceof Statement.Commit && wrote;
        boolean neverRan = connection.isEmpty();
        ticket.ifPresent(t -> t.abandon(context.clock().nanoTime()));
        if (repeatTimer.isEmpty()) {
            connection.ifPresent(PooledConnection::discard);
        }
        fail(
                unknown
                        ? FailureCode.OUTCOME_UNKNOWN
                        : neverRan ? FailureCode.BUSY : FailureCode.ROLLED_BACK,
                reason);
    }

    private void fail(FailureCode code, String reason) {
        if (pending.isEmpty()) {
            return;
        }
        log(EventCode.STATEMENT_FAILED, "code=" + code + " " + reason);
        finishFailed(StatementResult.failed(Failure.of(code, reason), TransactionState.FAILED));
    }

    private void finishFailed(StatementResult answer) {
        boolean commit = current instanceof Statement.Commit;
        connection.filter(PooledConnection::isOpen).ifPresent(PooledConnection::release);
        connection = Optional.empty();
        failed = !commit;
        ended = commit;
        deliver(
                answer.withTransactionState(
                        commit ? TransactionState.IDLE : TransactionState.FAILED));
    }

    private void deliver(StatementResult answer) {
        Consumer<StatementResult> then = pending.orElseThrow();
        pending = Optional.empty();
        statementTimer.ifPresent(Clock.Timer::cancel);
        stopRepeating();
        if (!ended && !failed) {
            startIdleTimer();
        }
        String outcome = answer.failure().map(f -> f.code().name()).orElse("DONE");
        Duration took = Duration.ofNanos(context.clock().nanoTime() - started.monotonicNanos());
        context.metrics().recordStatement(route.consistency().name(), outcome, took);
        then.accept(answer);
    }

    private void startIdleTimer() {
        Duration timeout = context.routeTable().get().idleTransactionTimeout();
        idleTimer = Optional.of(context.clock().schedule(() -> abort("idle"), timeout));
    }

    private void stopRepeating() {
        repeatTimer.ifPresent(Clock.Timer::cancel);
        repeatTimer = Optional.empty();
    }

    private void stopTimers() {
        idleTimer.ifPresent(Clock.Timer::cancel);
        statementTimer.ifPresent(Clock.Timer::cancel);
    }

    private void log(EventCode code, String detail) {
        context.requestLog().record(code, route.database(), currentId, detail);
    }
}
