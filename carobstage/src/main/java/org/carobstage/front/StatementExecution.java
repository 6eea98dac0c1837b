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
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;
import org.carobstage.upstream.ConnectionRequest;
import org.carobstage.upstream.ConnectionRequest.Purpose;
import org.carobstage.upstream.PooledConnection;
import org.carobstage.upstream.ServiceGroup;
import org.carobstage.upstream.TrackedCommit;

/**
 * The execution of one statement outside a transaction. Reads are sent to any instance that has
 * reached the required log position. On primary routes this position is the read index, which a
 * quorum of instances confirms after the read arrived. Reads are retried at other instances until
 * the timeout. A write is retried only after a rejection which guarantees that it was not executed.
 */
final class StatementExecution {
    private static final int MAX_ATTEMPTS = 8;

    /** A read without a result after this fraction of the target latency is hedged. */
    private static final int HEDGE_DIVISOR = 2;

    private static final Duration MIN_HEDGE_DELAY = Duration.ofMillis(60);

    /** The delay before a retry at a busy instance, multiplied by the number of attempts. */
    private static final Duration BUSY_RETRY_DELAY = Duration.ofMillis(10);

    private final SessionContext context;
    private final Route route;
    private final ServiceGroup group;
    private final ClientSession session;
    private final ClientOperation operation;
    private final String id;
    private final Statement statement;
    private final Optional<PreparedStatement> prepared;
    private final boolean isWrite;
    private final Consumer<StatementResult> callback;
    private final ClockReading receivedAt;
    private final long deadlineNanos;
    private final Set<InstanceId> excludedInstances = new HashSet<>();
    private final Set<InstanceId> contactedInstances = new HashSet<>();
    private final List<ConnectionRequest> connectionRequests = new ArrayList<>();
    private final List<Clock.Timer> timers = new ArrayList<>();
    private Optional<TrackedCommit> inFlightCommit = Optional.empty();
    private Optional<PooledConnection> writeConnection = Optional.empty();
    private int attempts;
    private int pendingResults;
    private boolean primaryOnly;
    private Optional<LogPosition> readIndex = Optional.empty();
    private boolean completed;
    private Optional<EndingSession.Reason> endReason = Optional.empty();
    private String positionSource = "";
    private String lastRetryReason = "";

    StatementExecution(
            SessionContext context,
            Route route,
            ServiceGroup group,
            ClientSession session,
            String id,
            Statement statement,
            Optional<PreparedStatement> prepared,
            Consumer<StatementResult> callback) {
        this.context = context;
        this.route = route;
        this.group = group;
        this.session = session;
        this.operation = new ClientOperation(context, route, session.account());
        this.id = id;
        this.statement = statement;
        this.prepared = prepared;
        this.isWrite =
                statement instanceof Statement.Write
                        || prepared.map(PreparedStatement::isWrite).orElse(false);
        this.callback = callback;
        this.receivedAt = ClockReading.now(context.clock());
        this.deadlineNanos = receivedAt.monotonicNanos() + route.timeout().toNanos();
        this.primaryOnly = isWrite;
    }

    void start() {
        timers.add(context.clock().schedule(() -> timeOut("timeout passed"), route.timeout()));
        if (!primaryOnly) {
            Duration hedgeDelay = route.targetLatency().dividedBy(HEDGE_DIVISOR);
            Duration delay =
                    hedgeDelay.compareTo(MIN_HEDGE_DELAY) > 0 ? hedgeDelay : MIN_HEDGE_DELAY;
            timers.add(context.clock().schedule(this::hedge, delay));
        }
        operation.requestPermission(this::attempt, this::reject);
    }

    /** Cancels the statement because its client has disconnected. */
    void cancel() {
        completed = true;
        cleanUp();
    }

    /** Sends the statement to no further instance because its session ends. */
    void end(EndingSession.Reason reason) {
        endReason = Optional.of(reason);
        if (pendingResults == 0) {
            reject(reason.text());
        }
    }

    private void attempt() {
        if (completed) {
            return;
        }
        attempts++;
        Optional<LogPosition> position = isWrite ? Optional.empty() : requiredPosition();
        if (isWrite || position.isPresent()) {
            acquire(position);
        } else if (mayConfirmOnConnection()) {
            primaryOnly = true;
            acquire(Optional.empty());
        } else {
            group.requestReadIndex(
                    receivedAt, deadlineNanos, false, this::onReadIndex, this::onNoEvidence);
        }
    }

    private String describeObserved(ObservedPosition observed) {
        return "evidence="
                + observed.position()
                + " age_ms="
                + observed.requestedAt().age(receivedAt).toMillis()
                + " own="
                + session.lastWritePosition()
                + " basis="
                + observed.basis().label();
    }

    private void onReadIndex(ObservedPosition observed) {
        positionSource = "proved=" + observed.position() + " basis=" + observed.basis().label();
        readIndex = Optional.of(observed.position().max(session.lastWritePosition()));
        acquire(readIndex);
    }

    private void onNoEvidence(String reason) {
        context.metrics().recordMissingEvidence(route.consistency().name());
        reject(reason);
    }

    private void acquire(Optional<LogPosition> requiredPosition) {
        if (completed) {
            return;
        }
        boolean usePrimary = isWrite || primaryOnly && group.hasUsablePrimary();
        ConnectionRequest[] request = new ConnectionRequest[1];
        request[0] =
                new ConnectionRequest(
                                operation.origin(receivedAt.monotonicNanos()),
                                usePrimary ? Purpose.PRIMARY : Purpose.ANY_INSTANCE,
                                excludedInstances,
                                session.sessionVariables(),
                                deadlineNanos,
                                connection -> {
                                    connectionRequests.remove(request[0]);
                                    setUpAndSend(connection, requiredPosition);
                                },
                                reason -> {
                                    connectionRequests.remove(request[0]);
                                    reject(reason);
                                })
                        .withAttempt(attempts);
        connectionRequests.add(request[0]);
        group.acquire(request[0]);
    }

    /** Returns the log position that a read requires, if a recent enough one is known. */
    private Optional<LogPosition> requiredPosition() {
        if (route.consistency() == Consistency.PRIMARY) {
            return readIndex;
        }
        Optional<ObservedPosition> observed =
                group.primaryPositions().oldestWithin(route.maxStaleness(), receivedAt);
        positionSource = observed.map(this::describeObserved).orElse("evidence=none");
        return observed.map(ObservedPosition::position)
                .map(p -> p.max(session.lastWritePosition()));
    }

    private void setUpAndSend(PooledConnection connection, Optional<LogPosition> requiredPosition) {
        if (completed) {
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
                    } else if (completed) {
                        connection.release();
                    } else if (!isWrite && requiredPosition.isEmpty()) {
                        confirmAndSend(connection);
                    } else {
                        send(connection, requiredPosition);
                    }
                });
    }

    private boolean mayConfirmOnConnection() {
        return route.consistency() == Consistency.PRIMARY
                && group.primaryCertainty().confirmsOnConnection();
    }

    /** Sends a read without a required position once the instance has confirmed that it leads. */
    private void confirmAndSend(PooledConnection connection) {
        InstanceId instance = connection.instance().id();
        connection.queryStatus(
                response -> {
                    boolean leads =
                            response.status().filter(InstanceStatus::isPrimary).isPresent()
                                    && group.leadership().isLeader(instance)
                                    && group.primaryCertainty().isCertain();
                    if (completed || !leads) {
                        connection.release();
                        retry(
                                "instance=" + instance + " did not confirm that it leads",
                                retryDelay());
                    } else {
                        positionSource = "confirmed=" + instance;
                        send(connection, Optional.empty());
                    }
                });
    }

    private void send(PooledConnection connection, Optional<LogPosition> requiredPosition) {
        if (isWrite && !group.tryAcquireWritePermission(connection.instance().id())) {
            connection.release();
            reject("commits at " + connection.instance().id() + " are not acknowledged");
            return;
        }
        pendingResults++;
        InstanceId instance = connection.instance().id();
        contactedInstances.add(instance);
        if (isWrite) {
            inFlightCommit = Optional.of(group.trackCommit());
            writeConnection = Optional.of(connection);
        }
        connection.send(
                id,
                requiredPosition,
                PreparedStatement.withSharedName(statement, prepared),
                result -> {
                    pendingResults--;
                    inFlightCommit.ifPresent(commit -> commit.complete(result));
                    connection.release();
                    onResult(instance, result);
                });
    }

    private void onResult(InstanceId instance, Optional<StatementResult> result) {
        if (completed) {
            return;
        }
        if (result.isEmpty()) {
            onConnectionLost(instance);
            return;
        }
        StatementResult statementResult = result.get();
        if (statementResult.isSuccessful()) {
            if (isWrite) {
                statementResult.logPosition().ifPresent(session::recordWrite);
            }
            deliver(statementResult);
            return;
        }
        FailureCode code = statementResult.failure().get().code();
        if (code.isNotExecuted() || !isWrite && code == FailureCode.FAILED) {
            onRejected(instance, code);
        } else {
            log(EventCode.STATEMENT_FAILED, "instance=" + instance + " code=" + code);
            deliver(statementResult);
        }
    }

    private void onConnectionLost(InstanceId instance) {
        if (isWrite) {
            fail(FailureCode.OUTCOME_UNKNOWN, "connection lost, instance=" + instance);
        } else {
            excludedInstances.add(instance);
            retry("connection lost, instance=" + instance, Duration.ZERO);
        }
    }

    private void onRejected(InstanceId instance, FailureCode code) {
        if (code != FailureCode.NOT_PRIMARY) {
            excludedInstances.add(instance);
        }
        // Only the primary is certain to have reached a read index.
        primaryOnly |=
                code == FailureCode.REPLICA_BEHIND
                        && readIndex.isPresent()
                        && group.hasUsablePrimary();
        boolean busyPrimary = primaryOnly && code != FailureCode.NOT_PRIMARY;
        Duration delay = busyPrimary ? retryDelay() : Duration.ZERO;
        retry("instance=" + instance + " code=" + code, delay);
    }

    private void retry(String reason, Duration delay) {
        if (completed) {
            return;
        }
        if (endReason.isPresent()) {
            reject(endReason.get().text());
            return;
        }
        lastRetryReason = reason;
        if (attempts >= MAX_ATTEMPTS) {
            reject("attempts=" + attempts + " last: " + reason);
            return;
        }
        log(
                EventCode.STATEMENT_RETRIED,
                "attempt=" + attempts + " " + positionSource + " reason: " + reason);
        boolean tryAllAgain = !group.hasOtherInstance(excludedInstances);
        if (tryAllAgain && group.hasUsablePrimary()) {
            primaryOnly = true;
        } else if (tryAllAgain) {
            // Without a primary, the replicas soon apply what they have received.
            excludedInstances.clear();
        }
        Duration pause = tryAllAgain && !primaryOnly ? retryDelay() : delay;
        if (pause.isZero()) {
            attempt();
        } else {
            timers.add(context.clock().schedule(this::attempt, pause));
        }
    }

    private Duration retryDelay() {
        return BUSY_RETRY_DELAY.multipliedBy(attempts);
    }

    private void hedge() {
        if (!completed
                && endReason.isEmpty()
                && pendingResults > 0
                && attempts < MAX_ATTEMPTS
                && !primaryOnly) {
            excludedInstances.addAll(contactedInstances);
            if (group.hasOtherInstance(excludedInstances)) {
                context.metrics().increment("hedged_reads_total");
                attempt();
            }
        }
    }

    /** Answers the statement without waiting for a result any longer. */
    void timeOut(String cause) {
        if (completed) {
            return;
        }
        String detail =
                cause
                        + " timeout_ms="
                        + route.timeout().toMillis()
                        + " "
                        + describeProgress()
                        + " "
                        + group.describe();
        if (pendingResults == 0) {
            reject(detail);
        } else if (isWrite) {
            inFlightCommit.ifPresent(TrackedCommit::abandon);
            fail(FailureCode.OUTCOME_UNKNOWN, detail);
            writeConnection.ifPresent(PooledConnection::discard);
        } else {
            fail(FailureCode.TIMED_OUT, detail);
        }
    }

    private void reject(String reason) {
        if (completed) {
            return;
        }
        if (isWrite && pendingResults > 0) {
            fail(FailureCode.OUTCOME_UNKNOWN, reason);
            return;
        }
        log(
                EventCode.STATEMENT_REFUSED,
                "waited_ms=" + elapsed().toMillis() + " " + positionSource + " reason: " + reason);
        deliver(
                StatementResult.failed(
                        Failure.of(FailureCode.BUSY, reason), TransactionState.IDLE));
    }

    private void fail(FailureCode code, String reason) {
        log(EventCode.STATEMENT_FAILED, "code=" + code + " " + reason);
        deliver(StatementResult.failed(Failure.of(code, reason), TransactionState.IDLE));
    }

    private void deliver(StatementResult result) {
        completed = true;
        cleanUp();
        String outcome = result.failure().map(f -> f.code().name()).orElse("DONE");
        if (result.isSuccessful() && elapsed().compareTo(route.targetLatency()) > 0) {
            log(
                    EventCode.STATEMENT_SLOW,
                    "took_ms="
                            + elapsed().toMillis()
                            + " target_ms="
                            + route.targetLatency().toMillis()
                            + " "
                            + describeProgress());
        }
        context.metrics().recordStatement(route.consistency().name(), outcome, elapsed());
        callback.accept(result.withTransactionState(TransactionState.IDLE));
    }

    private void cleanUp() {
        operation.cancel();
        timers.forEach(Clock.Timer::cancel);
        List.copyOf(connectionRequests).forEach(group::cancel);
        connectionRequests.clear();
    }

    private String describeProgress() {
        return "attempts="
                + attempts
                + " asked="
                + contactedInstances
                + " "
                + positionSource
                + " last: "
                + lastRetryReason;
    }

    private Duration elapsed() {
        return Duration.ofNanos(context.clock().nanoTime() - receivedAt.monotonicNanos());
    }

    private void log(EventCode code, String detail) {
        context.requestLog().record(code, route.database(), id, detail);
    }
}
