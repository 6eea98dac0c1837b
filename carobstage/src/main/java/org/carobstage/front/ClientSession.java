package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.carobstage.account.ApiKey;
import org.carobstage.event.EventCode;
import org.carobstage.front.ProxyMetrics.RejectionCause;
import org.carobstage.model.AccountName;
import org.carobstage.model.LogPosition;
import org.carobstage.route.Route;
import org.carobstage.route.RouteTable;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;
import org.carobstage.upstream.ServiceGroup;

/** A client session: its variables, prepared statements, transaction and last write position. */
public final class ClientSession {
    /** Maximum number of statements that a client may send before their results arrive. */
    private static final int MAX_PIPELINED = 64;

    /** A client counts as idle this long after its session opened or its last result was sent. */
    private static final Duration IDLE_THRESHOLD = Duration.ofMillis(200);

    /**
     * How long a session that ends is kept for the statement that tells its client; clients that
     * continue a transaction do so within its idle timeout of 3 s.
     */
    private static final Duration LAST_ANSWER_TIMEOUT = Duration.ofSeconds(10);

    private final SessionContext context;
    private final ClientChannel channel;
    private final String database;
    private final Runnable onClosed;
    private final SessionOpening opening;
    private ApiKey key;
    private Optional<AccountName> account = Optional.empty();
    private final Map<String, String> sessionVariables = new LinkedHashMap<>();
    private final Map<String, PreparedStatement> preparedStatements = new HashMap<>();
    private final Deque<PendingStatement> queue = new ArrayDeque<>();
    private Optional<ClientTransaction> transaction = Optional.empty();
    private Optional<StatementExecution> activeExecution = Optional.empty();
    private Optional<EndingSession.Reason> endReason = Optional.empty();
    private Optional<EndingSession> ending = Optional.empty();
    private LogPosition lastWritePosition = LogPosition.empty();
    private long lastActivityNanos;
    private boolean open;
    private boolean busy;
    private boolean stopping;
    private boolean closed;

    ClientSession(
            SessionContext context,
            ClientChannel channel,
            String database,
            ApiKey key,
            Runnable onClosed) {
        this.context = requireNonNull(context, "context is null");
        this.channel = requireNonNull(channel, "channel is null");
        this.database = requireNonNull(database, "database is null");
        this.key = requireNonNull(key, "key is null");
        this.onClosed = onClosed;
        this.opening = new SessionOpening(context, database, key, this::onGranted, this::onRefused);
    }

    /**
     * Receives a statement from the client.
     *
     * @param id the request id
     * @param statement the statement
     */
    public void receive(String id, Statement statement) {
        if (closed) {
            return;
        }
        if (queue.size() >= MAX_PIPELINED) {
            close("too many statements ahead of the answers");
            return;
        }
        queue.add(new PendingStatement(id, statement));
        processNext();
    }

    /** Ends the session because the connection to the client is closed. */
    public void onDisconnect() {
        if (closed) {
            return;
        }
        closed = true;
        opening.cancel();
        queue.clear();
        activeExecution.ifPresent(StatementExecution::cancel);
        transaction.ifPresent(t -> t.rollback(""));
        account.ifPresent(context.metrics().accounts()::recordClosed);
        onClosed.run();
    }

    void open() {
        opening.start();
    }

    /** Closes the session once no statement is in progress and none is likely to be in transit. */
    void closeWhenIdle() {
        stopping = true;
        boolean clientIdle =
                context.clock().nanoTime() - lastActivityNanos >= IDLE_THRESHOLD.toNanos();
        if (isIdle() && clientIdle) {
            close("stopping");
        }
    }

    /** Rolls back an idle transaction, so that the session can end. */
    void abortTransaction() {
        transaction.ifPresent(t -> t.abort("stopping"));
    }

    /** Returns whether a route table does not allow this open session. */
    boolean isRevokedBy(RouteTable table) {
        return open
                && !closed
                && endReason.isEmpty()
                && !SessionAccess.isStillGranted(table, database, key, account);
    }

    /**
     * Ends the session because its key was revoked: a statement that was sent to an instance
     * completes, a transaction is rolled back, and other statements are answered without running.
     */
    void revoke() {
        context.metrics().recordRejection(RejectionCause.REVOKED);
        end(EndingSession.Reason.REVOKED);
    }

    /**
     * Ends the session because the process is about to exit: a statement that was sent to an
     * instance completes, the next one is answered without running.
     */
    void endForShutdown() {
        stopping = true;
        opening.refuse(FailureCode.BUSY);
        if (!closed && endReason.isEmpty()) {
            end(EndingSession.Reason.STOPPING);
        }
    }

    /** Answers a statement in progress as if its timeout had passed. */
    void timeOutStatement() {
        String reason = EndingSession.Reason.STOPPING.text();
        activeExecution.ifPresent(e -> e.timeOut(reason));
        transaction.ifPresent(t -> t.timeOut(reason));
    }

    Optional<AccountName> account() {
        return account;
    }

    boolean isIdle() {
        return open && !busy && queue.isEmpty() && transaction.isEmpty();
    }

    Map<String, String> sessionVariables() {
        return sessionVariables;
    }

    LogPosition lastWritePosition() {
        return lastWritePosition;
    }

    void recordWrite(LogPosition position) {
        lastWritePosition = lastWritePosition.max(position);
    }

    private void onGranted(Optional<AccountName> newAccount) {
        account = newAccount;
        if (account.isEmpty()) {
            // It may be as long as a message, and is not needed.
            key = ApiKey.of("");
        }
        account.ifPresent(context.metrics().accounts()::recordOpened);
        open = true;
        lastActivityNanos = context.clock().nanoTime();
        channel.sendReady();
        processNext();
    }

    private void onRefused(Failure failure) {
        channel.reject(failure);
        onDisconnect();
    }

    private void end(EndingSession.Reason reason) {
        endReason = Optional.of(reason);
        activeExecution.ifPresent(e -> e.end(reason));
        transaction.ifPresent(t -> t.end(reason));
        processNext();
    }

    /** Answers the remaining statements; closes the session unless it waits for one more. */
    private void answerRemaining(EndingSession.Reason reason) {
        if (ending.isEmpty()) {
            transaction.ifPresent(t -> t.abort(reason.label()));
            boolean rollbackUnknown =
                    transaction.map(ClientTransaction::pollRollbackNotification).orElse(false);
            // At a stop a statement may be in transit, which must be answered.
            boolean answerPending = rollbackUnknown || reason == EndingSession.Reason.STOPPING;
            ending = Optional.of(EndingSession.of(reason, transaction.isPresent(), answerPending));
            context.clock().schedule(() -> close(reason.label()), LAST_ANSWER_TIMEOUT);
        }
        while (!queue.isEmpty()) {
            channel.sendResult(ending.get().answer(queue.poll().statement()));
        }
        if (!ending.get().isAnswerPending()) {
            close(reason.label());
        }
    }

    private void processNext() {
        if (!open || closed || busy) {
            return;
        }
        if (endReason.isPresent()) {
            answerRemaining(endReason.get());
            return;
        }
        if (queue.isEmpty()) {
            return;
        }
        busy = true;
        PendingStatement pending = queue.poll();
        handle(pending.id(), pending.statement());
    }

    private void handle(String id, Statement statement) {
        // A statement that a stop leaves no time for is answered as one of a failed transaction.
        transaction
                .filter(t -> !context.gate().mayStart(t.timeout()))
                .ifPresent(t -> t.abort("stopping"));
        boolean failed = transaction.map(ClientTransaction::isFailed).orElse(false);
        if (statement instanceof Statement.Rollback) {
            transaction.ifPresent(t -> t.rollback(id));
            transaction = Optional.empty();
            finish(StatementResult.success(TransactionState.IDLE));
        } else if (failed && statement instanceof Statement.Commit) {
            transaction = Optional.empty();
            finish(failure(FailureCode.ROLLED_BACK, "the transaction has failed"));
        } else if (failed) {
            boolean notificationPending =
                    transaction.map(ClientTransaction::pollRollbackNotification).orElse(false);
            FailureCode code =
                    notificationPending ? FailureCode.ROLLED_BACK : FailureCode.MALFORMED;
            finish(failure(code, "the transaction has failed"));
        } else if (statement instanceof Statement.Begin begin) {
            begin(id, begin);
        } else if (statement instanceof Statement.SetVariable set) {
            sessionVariables.put(set.name(), set.value());
            finish(StatementResult.success(transactionState()));
        } else if (statement instanceof Statement.Prepare prepare) {
            preparedStatements.put(
                    prepare.name(), PreparedStatement.of(prepare.isWrite(), prepare.queryText()));
            finish(StatementResult.success(transactionState()));
        } else if (statement instanceof Statement.Deallocate deallocate) {
            preparedStatements.remove(deallocate.name());
            finish(StatementResult.success(transactionState()));
        } else {
            execute(id, statement);
        }
    }

    private void begin(String id, Statement.Begin begin) {
        if (transaction.isPresent()) {
            finish(failure(FailureCode.MALFORMED, "a transaction is open"));
            return;
        }
        resolveTarget(id)
                .ifPresent(
                        target -> {
                            transaction =
                                    Optional.of(
                                            new ClientTransaction(
                                                    context,
                                                    target.route(),
                                                    target.group(),
                                                    this,
                                                    id,
                                                    begin));
                            finish(StatementResult.success(TransactionState.OPEN));
                        });
    }

    private void execute(String id, Statement statement) {
        Optional<PreparedStatement> preparedStatement = Optional.empty();
        if (statement instanceof Statement.Invalid invalid) {
            finish(failure(FailureCode.MALFORMED, invalid.reason()));
            return;
        }
        if (statement instanceof Statement.Execute execute) {
            preparedStatement = Optional.ofNullable(preparedStatements.get(execute.name()));
            if (preparedStatement.isEmpty()) {
                finish(failure(FailureCode.NOT_PREPARED, execute.name()));
                return;
            }
        }
        if (transaction.isPresent()) {
            transaction.get().execute(id, statement, preparedStatement, this::finishInTransaction);
        } else if (statement instanceof Statement.Commit) {
            finish(failure(FailureCode.MALFORMED, "no transaction is open"));
        } else {
            executeOutsideTransaction(id, statement, preparedStatement);
        }
    }

    private void executeOutsideTransaction(
            String id, Statement statement, Optional<PreparedStatement> preparedStatement) {
        resolveTarget(id)
                .ifPresent(
                        target -> {
                            StatementExecution execution =
                                    new StatementExecution(
                                            context,
                                            target.route(),
                                            target.group(),
                                            this,
                                            id,
                                            statement,
                                            preparedStatement,
                                            this::finish);
                            activeExecution = Optional.of(execution);
                            execution.start();
                        });
    }

    /**
     * Finds the route and its instances; completes the statement with a failure if there are none.
     */
    private Optional<RouteTarget> resolveTarget(String id) {
        Optional<Route> route = context.routeTable().get().route(database);
        Optional<ServiceGroup> group = route.map(Route::service).flatMap(context.groupLookup());
        if (route.isEmpty()) {
            context.requestLog()
                    .record(
                            EventCode.STATEMENT_REFUSED,
                            database,
                            id,
                            "no route, version=" + context.routeTable().get().version());
            finish(failure(FailureCode.UNKNOWN_DATABASE, database));
        } else if (group.isEmpty()) {
            context.requestLog()
                    .record(EventCode.STATEMENT_REFUSED, database, id, "no instance is registered");
            finish(failure(FailureCode.BUSY, "no instance is registered"));
        } else if (!context.gate().mayStart(route.get().timeout())) {
            context.requestLog()
                    .record(
                            EventCode.STATEMENT_REFUSED,
                            database,
                            id,
                            "stopping, timeout_ms=" + route.get().timeout().toMillis());
            finish(failure(FailureCode.BUSY, EndingSession.Reason.STOPPING.text()));
            return Optional.empty();
        }
        return route.flatMap(r -> group.map(g -> new RouteTarget(r, g)));
    }

    private void finishInTransaction(StatementResult result) {
        if (result.transactionState() == TransactionState.IDLE) {
            transaction = Optional.empty();
        }
        finish(result);
    }

    private void finish(StatementResult result) {
        activeExecution = Optional.empty();
        busy = false;
        if (closed) {
            return;
        }
        lastActivityNanos = context.clock().nanoTime();
        channel.sendResult(result);
        if (stopping && isIdle()) {
            close("stopping");
        } else {
            processNext();
        }
    }

    private void close(String reason) {
        if (!closed) {
            context.metrics().increment("sessions_closed_total{reason=\"" + reason + "\"}");
            channel.close();
            onDisconnect();
        }
    }

    private StatementResult failure(FailureCode code, String message) {
        return StatementResult.failed(Failure.of(code, message), transactionState());
    }

    private TransactionState transactionState() {
        return transaction
                .map(t -> t.isFailed() ? TransactionState.FAILED : TransactionState.OPEN)
                .orElse(TransactionState.IDLE);
    }

    private record PendingStatement(String id, Statement statement) {}

    private record RouteTarget(Route route, ServiceGroup group) {}
}
