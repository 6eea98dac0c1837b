package org.carobstage.front;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.carobstage.event.EventCode;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.route.Consistency;
import org.carobstage.route.Route;
import org.carobstage.runtime.TimerSlot;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;
import org.carobstage.upstream.ConnectionRequest;
import org.carobstage.upstream.ConnectionRequest.Purpose;
import org.carobstage.upstream.IdleTransaction;
import org.carobstage.upstream.PooledConnection;
import org.carobstage.upstream.ServiceGroup;
import org.carobstage.upstream.TrackedCommit;

/**
 * A client's transaction. It acquires a connection for its first statement and holds it until it
 * ends. A transaction that fails before its commit was sent is rolled back.
 */
final class ClientTransaction {
    private static final int MAX_ATTEMPTS = 8;
    private static final Duration BUSY_RETRY_DELAY = Duration.ofMillis(10);

    private final SessionContext context;
    private final Route route;
    private final ServiceGroup group;
    private final ClientSession session;
    private final ClientOperation operation;
    private final String beginId;
    private final Statement.Begin begin;
    private final boolean replicaAllowed;
    private final Set<InstanceId> excludedInstances = new HashSet<>();
    private Optional<PooledConnection> connection = Optional.empty();
    private Optional<ConnectionRequest> connectionRequest = Optional.empty();
    private final TimerSlot statementTimer = TimerSlot.empty();
    private final TimerSlot idleTimer = TimerSlot.empty();
    private final TimerSlot retryTimer = TimerSlot.empty();
    private Optional<Consumer<StatementResult>> resultCallback = Optional.empty();
    private Optional<TrackedCommit> inFlightCommit = Optional.empty();
    private final PrimaryConfirmation confirmation;
    private Statement currentStatement;
    private Optional<PreparedStatement> currentPrepared = Optional.empty();
    private String currentId = "";
    private ClockReading statementReceivedAt;
    private int attempts;
    private boolean awaitingResult;
    private boolean hasWritten;
    private boolean failed;
    private boolean rollbackNotificationPending;
    private Optional<EndingSession.Reason> endReason = Optional.empty();
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
        this.operation = new ClientOperation(context, route, session.account());
        this.beginId = beginId;
        this.begin = begin;
        this.confirmation = new PrimaryConfirmation(route, group, session);
        this.replicaAllowed = begin.isReadOnly() && route.consistency() != Consistency.PRIMARY;
        startIdleTimer();
    }

    Duration timeout() {
        return route.timeout();
    }

    boolean isFailed() {
        return failed;
    }

    /** Returns whether the client must still be notified of the rollback, which this call ends. */
    boolean pollRollbackNotification() {
        boolean notificationPending = rollbackNotificationPending;
        rollbackNotificationPending = false;
        return notificationPending;
    }

    /** Executes a statement or the commit; the result holds the new transaction state. */
    void execute(
            String id,
            Statement statement,
            Optional<PreparedStatement> prepared,
            Consumer<StatementResult> callback) {
        idleTimer.cancel();
        resultCallback = Optional.of(callback);
        currentStatement = statement;
        currentPrepared = prepared;
        currentId = id;
        awaitingResult = false;
        attempts = 0;
        statementReceivedAt = ClockReading.now(context.clock());
        statementTimer.set(
                context.clock().schedule(() -> timeOut("timeout passed"), route.timeout()));
        if (connection.isPresent()) {
            setUpAndSend(connection.get(), prepared);
        } else {
            operation.requestPermission(
                    () -> acquireConnection(prepared), reason -> fail(FailureCode.BUSY, reason));
        }
    }

    /**
     * Rolls back the transaction.
     *
     * @param id the id of the client's request, or empty if the client has disconnected
     */
    void rollback(String id) {
        ended = true;
        cancelTimers();
        operation.cancel();
        connectionRequest.ifPresent(group::cancel);
        boolean committing = awaitingResult && currentStatement instanceof Statement.Commit;
        if (!committing) {
            connection.ifPresent(pooled -> releaseOrDiscard(pooled, id));
        }
        retryTimer.cancel();
        resultCallback = Optional.empty();
    }

    /** Rolls back the transaction; the client is notified by the result of its next statement. */
    void abort(String reason) {
        if (ended || failed || resultCallback.isPresent()) {
            return;
        }
        log(EventCode.TRANSACTION_ROLLED_BACK, "reason=" + reason);
        failed = true;
        rollbackNotificationPending = true;
        cancelTimers();
        connection.ifPresent(PooledConnection::release);
        connection = Optional.empty();
    }

    /**
     * Rolls back the transaction because its session ends. A statement that was sent completes
     * first, and the session then calls {@link #abort}.
     */
    void end(EndingSession.Reason reason) {
        endReason = Optional.of(reason);
        if (resultCallback.isPresent() && !awaitingResult) {
            connectionRequest.ifPresent(group::cancel);
            if (!retryTimer.isPending()) {
                connection.ifPresent(PooledConnection::discard);
            }
            fail(FailureCode.ROLLED_BACK, reason.text());
        }
    }

    /** Discards the connection, instead of reusing it, if a statement may be in progress on it. */
    private void releaseOrDiscard(PooledConnection pooled, String id) {
        if (resultCallback.isPresent() && !retryTimer.isPending()) {
            pooled.discard();
        } else {
            pooled.release(id);
        }
    }

    private void acquireConnection(Optional<PreparedStatement> prepared) {
        if (ended || resultCallback.isEmpty()) {
            return;
        }
        attempts++;
        Optional<LogPosition> recentPosition = confirmation.recentPosition(statementReceivedAt);
        Optional<LogPosition> requiredPosition = recentPosition.filter(p -> replicaAllowed);
        boolean usePrimary =
                requiredPosition.isEmpty() || !group.hasOtherInstance(excludedInstances);
        if (usePrimary) {
            confirmation.request(
                    recentPosition,
                    statementReceivedAt,
                    () -> sendWhenConfirmed(prepared),
                    reason -> {
                        connectionRequest.ifPresent(group::cancel);
                        context.metrics().recordMissingEvidence(route.consistency().name());
                        fail(FailureCode.BUSY, reason);
                    });
        }
        if (resultCallback.isEmpty()) {
            return;
        }
        ConnectionRequest request =
                new ConnectionRequest(
                                operation.origin(statementReceivedAt.monotonicNanos()),
                                usePrimary ? Purpose.PRIMARY_TRANSACTION : Purpose.TRANSACTION,
                                excludedInstances,
                                session.sessionVariables(),
                                statementReceivedAt.monotonicNanos() + route.timeout().toNanos(),
                                acquired -> {
                                    connectionRequest = Optional.empty();
                                    setUpAndBegin(
                                            acquired,
                                            usePrimary ? Optional.empty() : requiredPosition,
                                            prepared);
                                },
                                reason -> {
                                    connectionRequest = Optional.empty();
                                    fail(FailureCode.BUSY, reason);
                                })
                        .withAttempt(attempts);
        connectionRequest = Optional.of(request);
        group.acquire(request);
    }

    /** Sends the first statement once the transaction has begun and the primary is confirmed. */
    private void sendWhenConfirmed(Optional<PreparedStatement> prepared) {
        if (ended || resultCallback.isEmpty() || connection.isEmpty()) {
            return;
        }
        PooledConnection pooled = connection.get();
        PrimaryConfirmation.Outcome outcome = confirmation.poll();
        if (outcome == PrimaryConfirmation.Outcome.CONFIRMED) {
            setUpAndSend(pooled, prepared);
        } else if (outcome == PrimaryConfirmation.Outcome.REPLACED) {
            connection = Optional.empty();
            pooled.release();
            retryAcquire(
                    prepared,
                    "instance=" + pooled.instance().id() + " is no longer primary",
                    BUSY_RETRY_DELAY);
        }
    }

    private void setUpAndBegin(
            PooledConnection acquired,
            Optional<LogPosition> requiredPosition,
            Optional<PreparedStatement> prepared) {
        ConnectionSetup.apply(
                acquired,
                session.sessionVariables(),
                prepared,
                ready -> {
                    if (!ready) {
                        retryAcquire(prepared, "connection lost in set-up", Duration.ZERO);
                    } else if (ended || resultCallback.isEmpty()) {
                        acquired.release();
                    } else {
                        sendBegin(acquired, requiredPosition, prepared);
                    }
                });
    }

    private void sendBegin(
            PooledConnection acquired,
            Optional<LogPosition> requiredPosition,
            Optional<PreparedStatement> prepared) {
        boolean onReplica = requiredPosition.isPresent();
        acquired.send(
                onReplica == begin.isReadOnly() ? beginId : "",
                requiredPosition,
                new Statement.Begin(onReplica),
                result -> {
                    boolean begun = result.filter(StatementResult::isSuccessful).isPresent();
                    if (!begun || ended || resultCallback.isEmpty()) {
                        acquired.release();
                    }
                    if (ended || resultCallback.isEmpty()) {
                        return;
                    }
                    if (begun) {
                        connection = Optional.of(acquired);
                        if (onReplica) {
                            setUpAndSend(acquired, prepared);
                        } else {
                            confirmation.onBegun(result.get().logPosition());
                            sendWhenConfirmed(prepared);
                        }
                        return;
                    }
                    boolean primaryChanged =
                            result.filter(r -> r.hasFailureCode(FailureCode.NOT_PRIMARY))
                                    .isPresent();
                    if (!primaryChanged && requiredPosition.isPresent()) {
                        excludedInstances.add(acquired.instance().id());
                    }
                    retryAcquire(
                            prepared,
                            "begin failed",
                            primaryChanged ? Duration.ZERO : BUSY_RETRY_DELAY);
                });
    }

    private void retryAcquire(Optional<PreparedStatement> prepared, String reason, Duration delay) {
        if (ended || resultCallback.isEmpty()) {
            return;
        }
        if (attempts >= MAX_ATTEMPTS) {
            fail(FailureCode.BUSY, reason + ", attempts=" + attempts);
            return;
        }
        log(EventCode.STATEMENT_RETRIED, "attempt=" + attempts + " reason: " + reason);
        context.clock().schedule(() -> acquireConnection(prepared), delay);
    }

    private void setUpAndSend(PooledConnection pooled, Optional<PreparedStatement> prepared) {
        ConnectionSetup.apply(
                pooled,
                session.sessionVariables(),
                prepared,
                ready -> {
                    if (resultCallback.isEmpty()) {
                        return;
                    }
                    if (!ready) {
                        connection = Optional.empty();
                        fail(FailureCode.ROLLED_BACK, "connection lost in set-up");
                        return;
                    }
                    boolean commit = currentStatement instanceof Statement.Commit;
                    hasWritten |=
                            currentStatement instanceof Statement.Write
                                    || prepared.map(PreparedStatement::isWrite).orElse(false);
                    if (commit
                            && hasWritten
                            && !group.tryAcquireWritePermission(pooled.instance().id())) {
                        fail(FailureCode.ROLLED_BACK, "commits are not acknowledged");
                        return;
                    }
                    awaitingResult = true;
                    if (commit && hasWritten) {
                        inFlightCommit = Optional.of(group.trackCommit());
                    }
                    pooled.send(
                            currentId,
                            Optional.empty(),
                            PreparedStatement.withSharedName(currentStatement, prepared),
                            result -> onResult(pooled, result));
                });
    }

    private void onResult(PooledConnection pooled, Optional<StatementResult> result) {
        awaitingResult = false;
        inFlightCommit.ifPresent(tracked -> tracked.complete(result));
        boolean commit = currentStatement instanceof Statement.Commit;
        if (resultCallback.isEmpty()) {
            pooled.release();
            return;
        }
        if (result.isEmpty()) {
            connection = Optional.empty();
            boolean outcomeUnknown = commit && hasWritten;
            fail(
                    outcomeUnknown ? FailureCode.OUTCOME_UNKNOWN : FailureCode.ROLLED_BACK,
                    "connection lost, instance=" + pooled.instance().id());
            return;
        }
        StatementResult statementResult = result.get();
        if (statementResult.hasFailureCode(FailureCode.BUSY)
                && statementResult.transactionState() == TransactionState.OPEN) {
            if (endReason.isPresent()) {
                fail(FailureCode.ROLLED_BACK, endReason.get().text());
            } else {
                retryForward(pooled);
            }
            return;
        }
        if (!statementResult.isSuccessful()) {
            String code = statementResult.failure().get().code().name();
            String detail = " code=" + code + " state=" + statementResult.transactionState();
            log(EventCode.STATEMENT_FAILED, "instance=" + pooled.instance().id() + detail);
            finishFailed(statementResult);
            return;
        }
        if (commit) {
            if (hasWritten) {
                statementResult.logPosition().ifPresent(session::recordWrite);
            }
            ended = true;
            connection = Optional.empty();
            pooled.release();
        }
        deliver(
                statementResult.withTransactionState(
                        commit ? TransactionState.IDLE : TransactionState.OPEN));
    }

    /** Retries on the same connection: the statement was not executed, the transaction is open. */
    private void retryForward(PooledConnection pooled) {
        attempts++;
        log(
                EventCode.STATEMENT_RETRIED,
                "attempt="
                        + attempts
                        + " reason: instance="
                        + pooled.instance().id()
                        + " code=BUSY");
        Duration delay = BUSY_RETRY_DELAY.multipliedBy(Math.min(attempts, MAX_ATTEMPTS));
        retryTimer.set(
                context.clock()
                        .schedule(
                                () -> {
                                    retryTimer.clear();
                                    setUpAndSend(pooled, currentPrepared);
                                },
                                delay));
    }

    /** Answers the statement in progress, if any, without waiting for a result any longer. */
    void timeOut(String cause) {
        if (resultCallback.isEmpty()) {
            return;
        }
        connectionRequest.ifPresent(group::cancel);
        String reason =
                cause
                        + " timeout_ms="
                        + route.timeout().toMillis()
                        + " sent="
                        + awaitingResult
                        + " attempts="
                        + attempts
                        + " "
                        + group.describe();
        boolean outcomeUnknown =
                awaitingResult && currentStatement instanceof Statement.Commit && hasWritten;
        boolean neverBegun = connection.isEmpty();
        inFlightCommit.ifPresent(TrackedCommit::abandon);
        if (!retryTimer.isPending()) {
            connection.ifPresent(PooledConnection::discard);
        }
        fail(
                outcomeUnknown
                        ? FailureCode.OUTCOME_UNKNOWN
                        : neverBegun ? FailureCode.BUSY : FailureCode.ROLLED_BACK,
                reason);
    }

    private void fail(FailureCode code, String reason) {
        if (resultCallback.isEmpty()) {
            return;
        }
        log(EventCode.STATEMENT_FAILED, "code=" + code + " " + reason);
        finishFailed(StatementResult.failed(Failure.of(code, reason), TransactionState.FAILED));
    }

    private void finishFailed(StatementResult result) {
        boolean commit = currentStatement instanceof Statement.Commit;
        connection.filter(PooledConnection::isOpen).ifPresent(PooledConnection::release);
        connection = Optional.empty();
        failed = !commit;
        ended = commit;
        deliver(
                result.withTransactionState(
                        commit ? TransactionState.IDLE : TransactionState.FAILED));
    }

    private void deliver(StatementResult result) {
        Consumer<StatementResult> callback = resultCallback.orElseThrow();
        resultCallback = Optional.empty();
        statementTimer.cancel();
        operation.cancel();
        retryTimer.cancel();
        if (!ended && !failed) {
            startIdleTimer();
        }
        String outcome = result.failure().map(f -> f.code().name()).orElse("DONE");
        Duration latency =
                Duration.ofNanos(context.clock().nanoTime() - statementReceivedAt.monotonicNanos());
        context.metrics().recordStatement(route.consistency().name(), outcome, latency);
        callback.accept(result);
    }

    private void startIdleTimer() {
        Duration timeout = context.routeTable().get().idleTransactionTimeout();
        idleTimer.set(context.clock().schedule(() -> abort("idle"), timeout));
        long nowNanos = context.clock().nanoTime();
        IdleTransaction idle =
                new IdleTransaction(
                        nowNanos, nowNanos + timeout.toNanos(), () -> abort("preempted"));
        connection.ifPresent(c -> c.markTransactionIdle(idle));
    }

    private void cancelTimers() {
        idleTimer.cancel();
        statementTimer.cancel();
    }

    private void log(EventCode code, String detail) {
        context.requestLog().record(code, route.database(), currentId, detail);
    }
}
