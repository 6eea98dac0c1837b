package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.carobstage.event.EventCode;
import org.carobstage.model.LogPosition;
import org.carobstage.route.Route;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;
import org.carobstage.upstream.ServiceGroup;

/** A client's session: its values, prepared statements, transaction and position. */
public final class ClientSession {
    /** Statements that a client may send ahead of the answers. */
    private static final int MAX_PIPELINED = 64;

    /** How long a client waits for its session while the routes are not known yet. */
    private static final Duration ROUTES_WAIT = Duration.ofMillis(1_500);

    /** How long a session for an unknown database waits for a route that may be under way. */
    private static final Duration NEW_ROUTE_WAIT = Duration.ofMillis(300);

    /** A client that got its session or an answer this long ago is not about to send more. */
    private static final Duration QUIET = Duration.ofMillis(200);

    private static final Duration ROUTES_POLL = Duration.ofMillis(50);

    private final SessionContext context;
    private final ClientChannel channel;
    private final String database;
    private final Runnable whenClosed;
    private final Map<String, String> sessionVariables = new LinkedHashMap<>();
    private final Map<String, PreparedStatement> prepared = new HashMap<>();
    private final Deque<Received> queue = new ArrayDeque<>();
    private Optional<ClientTransaction> transaction = Optional.empty();
    private Optional<StatementExecution> running = Optional.empty();
    private LogPosition lastWritePosition = LogPosition.empty();
    private long activeNanos;
    private boolean open;
    private boolean busy;
    private boolean stopping;
    private boolean closed;

    ClientSession(
            SessionContext context, ClientChannel channel, String database, Runnable whenClosed) {
        this.context = requireNonNull(context, "context is null");
        this.channel = requireNonNull(channel, "channel is null");
        this.database = requireNonNull(database, "database is null");
        this.whenClosed = whenClosed;
    }

    /**
     * Takes a statement of the client.
     *
     * @param id the request's id
     * @param statement the statement
     */
    public void receive(String id, Statement statement) {
        if (closed) {
            return;
        }
        if (queue.size() >= MAX_PIPELINED) {
            end("too many statements ahead of the answers");
            return;
        }
        queue.add(new Received(id, statement));
        next();
    }

    /** The client's connection is closed. */
    public void onDisconnect() {
        if (closed) {
            return;
        }
        closed = true;
        queue.clear();
        running.ifPresent(StatementExecution::cancel);
        transaction.ifPresent(t -> t.rollback(""));
        whenClosed.run();
    }

    void open() {
        awaitRoute(Duration.ZERO);
    }

    /**
     * Closes the session once nothing is in progress and no statement is likely to be under way.
     */
    void closeWhenIdle() {
        stopping = true;
        boolean quiet = context.clock().nanoTime() - activeNanos >= QUIET.toNanos();
        if (isIdle() && quiet) {
            end("stopping");
        }
    }

    /** Rolls an idle transaction back, so that the session can end. */
    void abortTransaction() {
        transaction.ifPresent(t -> t.abort("stopping"));
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

    /** Returns the statement as connections to instances know it. */
    Statement withSharedName(Statement statement, Optional<PreparedStatement> known) {
        if (statement instanceof Statement.Execute execute && known.isPresent()) {
            return new Statement.Execute(known.get().sharedName(), execute.arguments());
        }
        return statement;
    }

    private void awaitRoute(Duration waited) {
        if (closed) {
            return;
        }
        boolean known = context.routeTable().get().isLoaded();
        if (context.routeTable().get().route(database).isPresent()) {
            open = true;
            activeNanos = context.clock().nanoTime();
            channel.sendReady();
            next();
        } else if (waited.compareTo(known ? NEW_ROUTE_WAIT : ROUTES_WAIT) < 0) {
            context.clock().schedule(() -> awaitRoute(waited.plus(ROUTES_POLL)), ROUTES_POLL);
        } else {
            FailureCode code = known ? FailureCode.UNKNOWN_DATABASE : FailureCode.BUSY;
            context.requestLog()
                    .record(
                            EventCode.SESSION_ENDED,
                            database,
                            "",
                            "code=" + code + " version=" + context.routeTable().get().version());
            channel.reject(Failure.of(code, database));
            onDisconnect();
        }
    }

    private void next() {
        if (!open || busy || queue.isEmpty()) {
            return;
        }
        busy = true;
        Received received = queue.poll();
        handle(received.id(), received.statement());
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
            boolean untold =
                    transaction.map(ClientTransaction::pollRollbackNotification).orElse(false);
            FailureCode code = untold ? FailureCode.ROLLED_BACK : FailureCode.MALFORMED;
            finish(failure(code, "the transaction has failed"));
        } else if (statement instanceof Statement.Begin begin) {
            begin(id, begin);
        } else if (statement instanceof Statement.SetVariable set) {
            sessionVariables.put(set.name(), set.value());
            finish(StatementResult.success(state()));
        } else if (statement instanceof Statement.Prepare prepare) {
            prepared.put(
                    prepare.name(), new PreparedStatement(prepare.isWrite(), prepare.queryText()));
            finish(StatementResult.success(state()));
        } else if (statement instanceof Statement.Deallocate deallocate) {
            prepared.remove(deallocate.name());
            finish(StatementResult.success(state()));
        } else {
            run(id, statement);
        }
    }

    private void begin(String id, Statement.Begin begin) {
        if (transaction.isPresent()) {
            finish(failure(FailureCode.MALFORMED, "a transaction is open"));
            return;
        }
        route(id)
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

    private void run(String id, Statement statement) {
        Optional<PreparedStatement> known = Optional.empty();
        if (statement instanceof Statement.Invalid invalid) {
            finish(failure(FailureCode.MALFORMED, invalid.reason()));
            return;
        }
        if (statement instanceof Statement.Execute execute) {
            known = Optional.ofNullable(prepared.get(execute.name()));
            if (known.isEmpty()) {
                finish(failure(FailureCode.NOT_PREPARED, execute.name()));
                return;
            }
        }
        if (transaction.isPresent()) {
            transaction.get().execute(id, statement, known, this::finishInTransaction);
        } else if (statement instanceof Statement.Commit) {
            finish(failure(FailureCode.MALFORMED, "no transaction is open"));
        } else {
            runAlone(id, statement, known);
        }
    }

    private void runAlone(String id, Statement statement, Optional<PreparedStatement> known) {
        route(id)
                .ifPresent(
                        target -> {
                            StatementExecution run =
                                    new StatementExecution(
                                            context,
                                            target.route(),
                                            target.group(),
                                            this,
                                            id,
                                            statement,
                                            known,
                                            this::finish);
                            running = Optional.of(run);
                            run.start();
                        });
    }

    /** Finds the route and its instances; answers the client itself if there are none. */
    private Optional<Target> route(String id) {
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
        return route.flatMap(r -> group.map(g -> new Target(r, g)));
    }

    private void finishInTransaction(StatementResult answer) {
        if (answer.transactionState() == TransactionState.IDLE) {
            transaction = Optional.empty();
        }
        finish(answer);
    }

    private void finish(StatementResult answer) {
        running = Optional.empty();
        busy = false;
        if (closed) {
            return;
        }
        activeNanos = context.clock().nanoTime();
        channel.sendResult(answer);
        if (stopping && isIdle()) {
            end("stopping");
        } else {
            next();
        }
    }

    private void end(String reason) {
        if (!closed) {
            context.metrics().increment("sessions_closed_total{reason=\"" + reason + "\"}");
            channel.close();
            onDisconnect();
        }
    }

    private StatementResult failure(FailureCode code, String text) {
        return StatementResult.failed(Failure.of(code, text), state());
    }

    private TransactionState state() {
        return transaction
                .map(t -> t.isFailed() ? TransactionState.FAILED : TransactionState.OPEN)
                .orElse(TransactionState.IDLE);
    }

    private record Received(String id, Statement statement) {}

    private record Target(Route route, ServiceGroup group) {}
}
