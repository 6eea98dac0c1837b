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

    private static final Duration ACCESS_POLL_INTERVAL = Duration.ofMillis(50);

    /**
     * How long a session with a revoked key is kept for the statement that tells its client of the
     * rollback; clients that continue a transaction do so within its idle timeout of 3 s.
     */
    private static final Duration ROLLBACK_NOTIFICATION_TIMEOUT = Duration.ofSeconds(10);

    private final SessionContext context;
    private final ClientChannel channel;
    private final String database;
    private final Runnable onClosed;
    private ApiKey key;
    private Optional<AccountName> account = Optional.empty();
    private final Map<String, String> sessionVariables = new LinkedHashMap<>();
    private final Map<String, PreparedStatement> preparedStatements = new HashMap<>();
    private final Deque<PendingStatement> queue = new ArrayDeque<>();
    private Optional<ClientTransaction> transaction = Optional.empty();
    private Optional<StatementExecution> activeExecution = Optional.empty();
    private Optional<RevokedSession> ending = Optional.empty();
    private LogPosition lastWritePosition = LogPosition.empty();
    private long lastActivityNanos;
    private boolean open;
    private boolean busy;
    private boolean stopping;
    private boolean revoked;
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
        queue.clear();
        activeExecution.ifPresent(StatementExecution::cancel);
        transaction.ifPresent(t -> t.rollback(""));
        account.ifPresent(context.metrics().accounts()::recordClosed);
        onClosed.run();
    }

    void open() {
        awaitAccess(Duration.ZERO);
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
                && !revoked
                && !SessionAccess.isStillGranted(table, database, key, account);
    }

    /**
     * Ends the session because its key was revoked: a statement that was sent to an instance
     * completes, a transaction is rolled back, and other statements are answered without running.
     */
    void revoke() {
        context.metrics().recordRejection(RejectionCause.REVOKED);
        revoked = true;
        activeExecution.ifPresent(StatementExecution::revoke);
        transaction.ifPresent(ClientTransaction::revoke);
        processNext();
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

    /** Replaces the client's name of a prepared statement by the name shared by all sessions. */
    Statement withSharedName(Statement statement, Optional<PreparedStatement> preparedStatement) {
        if (statement instanceof Statement.Execute execute && preparedStatement.isPresent()) {
            return new Statement.Execute(preparedStatement.get().sharedName(), execute.arguments());
        }
        return statement;
    }

    private void awaitAccess(Duration waited) {
        if (closed) {
            return;
        }
        RouteTable table = context.routeTable().get();
        SessionAccess access = SessionAccess.decide(table, database, key, waited);
        if (access instanceof SessionAccess.Granted granted) {
            grant(granted.account());
        } else if (access instanceof SessionAccess.Refused refused) {
            refuse(refused.code(), table.version());
        } else {
            context.clock()
                    .schedule(
                            () -> awaitAccess(waited.plus(ACCESS_POLL_INTERVAL)),
                            ACCESS_POLL_INTERVAL);
        }
    }

    private void grant(Optional<AccountName> newAccount) {
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

    private void refuse(FailureCode code, long version) {
        boolean unauthorized = code == FailureCode.UNAUTHORIZED;
        if (unauthorized) {
            context.metrics().recordRejection(RejectionCause.UNKNOWN_KEY);
        }
        context.requestLog()
                .record(
                        unauthorized ? EventCode.SESSION_UNAUTHORIZED : EventCode.SESSION_ENDED,
                        database,
                        "",
                        "code=" + code + " version=" + version);
        channel.reject(Failure.of(code, unauthorized ? "no account holds this API key" : database));
        onDisconnect();
    }

    /** Answers the remaining statements and closes the session, in which none is in progress. */
    private void endRevoked() {
        if (ending.isEmpty()) {
            transaction.ifPresent(t -> t.abort("key revoked"));
            boolean notificationPending =
                    transaction.map(ClientTransaction::pollRollbackNotification).orElse(false);
            ending = Optional.of(RevokedSession.of(transaction.isPresent(), notificationPending));
        }
        while (!queue.isEmpty()) {
            channel.sendResult(ending.get().answer(queue.poll().statement()));
        }
        if (ending.get().isNotificationPending()) {
            context.clock().schedule(() -> close("revoked"), ROLLBACK_NOTIFICATION_TIMEOUT);
        } else {
            close("revoked");
        }
    }

    private void processNext() {
        if (!open || closed || busy) {
            return;
        }
        if (revoked) {
            endRevoked();
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
                    prepare.name(), new PreparedStatement(prepare.isWrite(), prepare.queryText()));
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
