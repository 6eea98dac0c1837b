package org.carobstage.front;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
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
 * One statement outside a transaction. Reads go to any instance that has the required position; on
 * primary routes a question to the primary, sent after the read arrived, gives that position. A
 * read is repeated elsewhere until the timeout. A write is sent again only after a refusal that
 * says it has not run.
 */
final class StatementExecution {
    private static final int MAX_ATTEMPTS = 8;

    /** A read unanswered for this part of the latency objective is also sent elsewhere. */
    private static final int HEDGE_DIVISOR = 2;

    private static final Duration MIN_HEDGE = Duration.ofMillis(60);

    /** The pause before a busy instance is asked again, for each attempt so far. */
    private static final Duration BUSY_PAUSE = Duration.ofMillis(10);

    private final SessionContext context;
    private final Route route;
    private final ServiceGroup group;
    private final ClientSession session;
    private final String id;
    private final Statement statement;
    private final Optional<PreparedStatement> prepared;
    private final boolean write;
    private final Consumer<StatementResult> then;
    private final ClockReading received;
    private final long deadlineNanos;
    private final Set<InstanceId> avoid = new HashSet<>();
    private final Set<InstanceId> inFlight = new HashSet<>();
    private final List<ConnectionRequest> waiting = new ArrayList<>();
    private final List<Clock.Timer> timers = new ArrayList<>();
    private Optional<CommitCircuitBreaker.InFlightCommit> ticket = Optional.empty();
    private Optional<PooledConnection> writing = Optional.empty();
    private int attempts;
    private int sent;
    private boolean primaryOnly;
    private Optional<LogPosition> proven = Optional.empty();
    private boolean done;
    private String basis = "";
    private String last = "";

    StatementExecution(
            SessionContext context,
            Route route,
            ServiceGroup group,
            ClientSession session,
            String id,
            Statement statement,
            Optional<PreparedStatement> prepared,
            Consumer<StatementResult> then) {
        this.context = context;
        this.route = route;
        this.group = group;
        this.session = session;
        this.id = id;
        this.statement = statement;
        this.prepared = prepared;
        this.write =
                statement instanceof Statement.Write
                        || prepared.map(PreparedStatement::isWrite).orElse(false);
        this.then = then;
        this.received = ClockReading.now(context.clock());
        this.deadlineNanos = received.monotonicNanos() + route.timeout().toNanos();
        this.primaryOnly = write;
    }

    void start() {
        timers.add(context.clock().schedule(this::expire, route.timeout()));
        if (!primaryOnly) {
            Duration hedge = route.targetLatency().dividedBy(HEDGE_DIVISOR);
            Duration delay = hedge.compareTo(MIN_HEDGE) > 0 ? hedge : MIN_HEDGE;
            timers.add(context.clock().schedule(this::hedge, delay));
        }
        attempt();
    }

    /** Gives the statement up because its client has left. */
    void cancel() {
        done = true;
        cleanUp();
    }

    private void attempt() {
        if (done) {
            return;
        }
        attempts++;
        Optional<LogPosition> known = write ? Optional.empty() : required();
        if (write || known.isPresent()) {
            acquire(known);
        } else {
            group.requestReadIndex(received, deadlineNanos, this::proved, this::refuse);
        }
    }

    private String describe(ObservedPosition evidence) {
        return "evidence="
                + evidence.position()
                + " age_ms="
                + evidence.requestedAt().age(received).toMillis()
                + " own="
                + session.lastWritePosition();
    }

    private void proved(LogPosition position) {
        basis = "proved=" + position;
        proven = Optional.of(position.max(session.lastWritePosition()));
        acquire(proven);
    }

    private void acquire(Optional<LogPosition> required) {
        if (done) {
            return;
        }
        ConnectionRequest[] self = new ConnectionRequest[1];
        self[0] =
                new ConnectionRequest(
                        primaryOnly ? Purpose.PRIMARY : Purpose.ANY_INSTANCE,
                        avoid,
                        session.sessionVariables(),
                        deadlineNanos,
                        connection -> {
                            waiting.remove(self[0]);
                            granted(connection, required);
                        },
                        reason -> {
                            waiting.remove(self[0]);
                            refuse(reason);
                        });
        waiting.add(self[0]);
        group.acquire(self[0]);
    }

    /** The position that a read requires, if the evidence at hand is fresh enough. */
    private Optional<LogPosition> required() {
        if (route.consistency() == Consistency.PRIMARY) {
            return proven;
        }
        Optional<ObservedPosition> evidence =
                group.primaryPositions().oldestWithin(route.maxStaleness(), received);
        basis = evidence.map(this::describe).orElse("evidence=none");
        return evidence.map(ObservedPosition::position)
                .map(p -> p.max(session.lastWritePosition()));
    }

    private void granted(PooledConnection connection, Optional<LogPosition> required) {
        if (done) {
            connection.release();
            return;
        }
        ConnectionSetup.apply(
                connection,
                session.sessionVariables(),
                prepared,
                ready -> {
                    if (!ready) {
                        retry("connection lost in set-up", Duration.ZERO);
                    } else if (done) {
                        connection.release();
                    } else {
                        send(connection, required);
                    }
                });
    }

    private void send(PooledConnection connection, Optional<LogPosition> required) {
        if (write && !group.tryAcquireWritePermission(connection.instance().id())) {
            connection.release();
            refuse("commits at " + connection.instance().id() + " are not acknowledged");
            return;
        }
        sent++;
        InstanceId instance = connection.instance().id();
        inFlight.add(instance);
        if (write) {
            ticket = Optional.of(group.trackCommit());
            writing = Optional.of(connection);
        }
        connection.send(
                id,
                required,
                session.withSharedName(statement, prepared),
                answer -> {
                    sent--;
                    ticket.ifPresent(t -> t.complete(answer.isPresent()));
                    connection.release();
                    answered(instance, answer);
                });
    }

    private void answered(InstanceId instance, Optional<StatementResult> answer) {
        if (done) {
            return;
        }
        if (answer.isEmpty()) {
            lost(instance);
            return;
        }
        StatementResult a = answer.get();
        if (a.isSuccessful()) {
            if (write) {
                a.logPosition().ifPresent(session::recordWrite);
                a.logPosition().ifPresent(group::recordAcknowledgedCommit);
            }
            deliver(a);
            return;
        }
        FailureCode code = a.failure().get().code();
        if (code.isNotExecuted() || !write && code == FailureCode.FAILED) {
            refusedBy(instance, code);
        } else {
            log(EventCode.STATEMENT_FAILED, "instance=" + instance + " code=" + code);
            deliver(a);
        }
    }

    private void lost(InstanceId instance) {
        if (write) {
            fail(FailureCode.OUTCOME_UNKNOWN, "connection lost, instance=" + instance);
        } else {
            avoid.add(instance);
            retry("connection lost, instance=" + instance, Duration.ZERO);
        }
    }

    private void refusedBy(InstanceId instance, FailureCode code) {
        if (code != FailureCode.NOT_PRIMARY) {
            avoid.add(instance);
        }
        // Only the primary surely has a position that was proved a moment ago.
        primaryOnly |= code == FailureCode.REPLICA_BEHIND && proven.isPresent();
        boolean busyPrimary = primaryOnly && code != FailureCode.NOT_PRIMARY;
        Duration pause = busyPrimary ? BUSY_PAUSE.multipliedBy(attempts) : Duration.ZERO;
        retry("instance=" + instance + " code=" + code, pause);
    }

    private void retry(String reason, Duration pause) {
        if (done) {
            return;
        }
        last = reason;
        if (attempts >= MAX_ATTEMPTS) {
            refuse("attempts=" + attempts + " last: " + reason);
            return;
        }
        log(
                EventCode.STATEMENT_RETRIED,
                "attempt=" + attempts + " " + basis + " reason: " + reason);
        if (!group.hasOtherInstance(avoid)) {
            primaryOnly = true;
        }
        if (pause.isZero()) {
            attempt();
        } else {
            timers.add(context.clock().schedule(this::attempt, pause));
        }
    }

    private void hedge() {
        if (!done && sent > 0 && attempts < MAX_ATTEMPTS && !primaryOnly) {
            avoid.addAll(inFlight);
            if (group.hasOtherInstance(avoid)) {
                context.metrics().increment("hedged_reads_total");
                attempt();
            }
        }
    }

    private void expire() {
        if (done) {
            return;
        }
        String waited =
                "timeout_ms="
                        + route.timeout().toMillis()
                        + " "
                        + inputs()
                        + " "
                        + group.describe();
        if (sent == 0) {
            refuse(waited);
        } else if (write) {
            ticket.ifPresent(t -> t.abandon(context.clock().nanoTime()));
            fail(FailureCode.OUTCOME_UNKNOWN, waited);
            writing.ifPresent(PooledConnection::discard);
        } else {
            fail(FailureCode.TIMED_OUT, waited);
        }
    }

    private void refuse(String reason) {
        if (done) {
            return;
        }
        if (write && sent > 0) {
            fail(FailureCode.OUTCOME_UNKNOWN, reason);
            return;
        }
        log(
                EventCode.STATEMENT_REFUSED,
                "waited_ms=" + elapsed().toMillis() + " " + basis + " reason: " + reason);
        deliver(
                StatementResult.failed(
                        Failure.of(FailureCode.BUSY, reason), TransactionState.IDLE));
    }

    private void fail(FailureCode code, String reason) {
        log(EventCode.STATEMENT_FAILED, "code=" + code + " " + reason);
        deliver(StatementResult.failed(Failure.of(code, reason), TransactionState.IDLE));
    }

    private void deliver(StatementResult answer) {
        done = true;
        cleanUp();
        String outcome = answer.failure().map(f -> f.code().name()).orElse("DONE");
        if (answer.isSuccessful() && elapsed().compareTo(route.targetLatency()) > 0) {
            log(
                    EventCode.STATEMENT_SLOW,
                    "took_ms="
                            + elapsed().toMillis()
                            + " target_ms="
                            + route.targetLatency().toMillis()
                            + " "
                            + inputs());
        }
        context.metrics().recordStatement(route.consistency().name(), outcome, elapsed());
        then.accept(answer.withTransactionState(TransactionState.IDLE));
    }

    private void cleanUp() {
        timers.forEach(Clock.Timer::cancel);
        List.copyOf(waiting).forEach(group::cancel);
        waiting.clear();
    }

    private String inputs() {
        return "attempts=" + attempts + " asked=" + inFlight + " " + basis + " last: " + last;
    }

    private Duration elapsed() {
        return Duration.ofNanos(context.clock().nanoTime() - received.monotonicNanos());
    }

    private void log(EventCode code, String detail) {
        context.requestLog().record(code, route.database(), id, detail);
    }
}
