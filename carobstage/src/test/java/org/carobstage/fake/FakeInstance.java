package org.carobstage.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;
import org.carobstage.upstream.InstanceConnection;
import org.carobstage.upstream.InstanceConnector;

/** An in-memory instance: its role, log position, connections and executed statements. */
public final class FakeInstance {
    private final FakeService service;
    private final InstanceId id;
    private final String domain;
    private final List<Connection> connections = new ArrayList<>();
    private final List<String> executedStatements = new ArrayList<>();
    private Term term = Term.of(1);
    private LogPosition receivedPosition = LogPosition.of(1, 0);
    private Term pauseTerm = Term.ZERO;
    private boolean primary;
    private boolean crashed;
    private boolean unresponsive;
    private boolean replicationBlocked;
    private boolean draining;
    private Duration statementDuration = Duration.ofMillis(5);
    private Optional<FailureCode> injectedFailure = Optional.empty();
    private int remainingFailures;
    private int remainingDrops;
    private int remainingStatusFailures;
    private int statusQueryCount;
    private int stepDownCount;
    private boolean ignoringStepDown;
    private int runningStatements;
    private int maxConcurrentStatements;

    FakeInstance(FakeService service, InstanceId id, String domain) {
        this.service = service;
        this.id = id;
        this.domain = domain;
    }

    public InstanceId id() {
        return id;
    }

    public String domain() {
        return domain;
    }

    public Term term() {
        return term;
    }

    public LogPosition receivedPosition() {
        return receivedPosition;
    }

    public Term replicationPauseTerm() {
        return pauseTerm;
    }

    public boolean isPrimary() {
        return primary;
    }

    public boolean isCrashed() {
        return crashed;
    }

    public boolean isUnresponsive() {
        return unresponsive;
    }

    public boolean isReceivingReplication() {
        return !primary
                && !crashed
                && !unresponsive
                && !replicationBlocked
                && pauseTerm.equals(Term.ZERO);
    }

    /** Returns whether a commit of a primary reaches this replica; one of a newer term does not. */
    boolean isReceivingFrom(FakeInstance source) {
        return source != this && isReceivingReplication() && !term.isAfter(source.term());
    }

    public InstanceEntry instanceEntry() {
        return FakeService.toInstanceEntry(this, draining);
    }

    /**
     * Returns the executed statements in order, each as request id, statement and session
     * variables.
     */
    public List<String> executedStatements() {
        return executedStatements;
    }

    /** Returns the highest number of client statements that were in progress at the same time. */
    public int maxConcurrentStatements() {
        return maxConcurrentStatements;
    }

    public int openConnectionCount() {
        return connections.size();
    }

    public List<Set<String>> preparedStatementNames() {
        return connections.stream().map(connection -> connection.preparedStatements).toList();
    }

    public FakeInstance drain() {
        draining = true;
        return this;
    }

    /** Crashes the instance: open connections are reset. */
    public void crash() {
        crashed = true;
        List.copyOf(connections).forEach(Connection::reset);
    }

    /** Stops all responses without resetting a connection. */
    public void stopResponding() {
        unresponsive = true;
    }

    public void recover() {
        unresponsive = false;
        crashed = false;
    }

    public void setReplicationBlocked(boolean blocked) {
        replicationBlocked = blocked;
    }

    public void setStatementDuration(Duration duration) {
        statementDuration = duration;
    }

    /** Makes the next client statements fail with an error code. */
    public void failStatements(FailureCode code, int count) {
        injectedFailure = Optional.of(code);
        remainingFailures = count;
    }

    /** Makes the next status queries fail with {@code BUSY}. */
    public void failStatusQueries(int count) {
        remainingStatusFailures = count;
    }

    /** Executes commands to step down without effect. */
    public void ignoreStepDown() {
        ignoringStepDown = true;
    }

    public boolean isIgnoringStepDown() {
        return ignoringStepDown;
    }

    public int stepDownCount() {
        return stepDownCount;
    }

    public int statusQueryCount() {
        return statusQueryCount;
    }

    /** Executes the next client statements, but resets the connection instead of responding. */
    public void dropResponses(int count) {
        remainingDrops = count;
    }

    /** Stops the responses on all open connections; new connections work. */
    public void stallOpenConnections() {
        connections.forEach(connection -> connection.stalled = true);
    }

    public void receive(LogPosition position) {
        receivedPosition = receivedPosition.max(position);
    }

    public void becomePrimary(Term newTerm) {
        primary = true;
        term = newTerm;
        pauseTerm = Term.ZERO;
        receivedPosition = LogPosition.of(newTerm.number(), receivedPosition.offset());
    }

    /**
     * Pauses replication, as if the holder of the failover lease had requested it and then crashed.
     */
    public void pauseReplication(Term requestedTerm) {
        pauseTerm = requestedTerm;
    }

    public void demote(Term newTerm) {
        primary = false;
        term = newTerm;
        pauseTerm = Term.ZERO;
    }

    void follow(FakeInstance newPrimary, Term newTerm) {
        if (newPrimary != this) {
            demote(newTerm);
        }
    }

    void connect(InstanceConnector.Listener listener, Predicate<InstanceId> reachable) {
        Connection connection = new Connection(listener, reachable);
        connections.add(connection);
        listener.onOpened(connection);
    }

    private record PendingStatement(
            String requestId,
            Optional<LogPosition> requiredPosition,
            Statement statement,
            Consumer<Optional<StatementResult>> callback) {}

    /** One connection, which responds to statements in the order in which they were sent. */
    private final class Connection implements InstanceConnection {
        private final InstanceConnector.Listener listener;
        private final Predicate<InstanceId> reachable;
        private final Deque<PendingStatement> pendingStatements = new ArrayDeque<>();
        private final Map<String, String> sessionVariables = new HashMap<>();
        private final Set<String> preparedStatements = new HashSet<>();
        private TransactionState transactionState = TransactionState.IDLE;
        private boolean readWrite;
        private boolean stalled;
        private boolean closed;

        private Connection(InstanceConnector.Listener listener, Predicate<InstanceId> reachable) {
            this.listener = listener;
            this.reachable = reachable;
        }

        @Override
        public void send(
                String requestId,
                Optional<LogPosition> requiredPosition,
                Statement statement,
                Consumer<Optional<StatementResult>> callback) {
            if (closed) {
                callback.accept(Optional.empty());
                return;
            }
            pendingStatements.add(
                    new PendingStatement(requestId, requiredPosition, statement, callback));
            runningStatements += requestId.isEmpty() ? 0 : 1;
            maxConcurrentStatements = Math.max(maxConcurrentStatements, runningStatements);
            boolean hasStatementDuration =
                    statement instanceof Statement.Read
                            || statement instanceof Statement.Execute
                            || statement.isWriteOrCommit();
            service.clock.schedule(
                    this::executeNext,
                    hasStatementDuration ? statementDuration : Duration.ofMillis(1));
        }

        @Override
        public void sendControlCommand(Statement statement, Consumer<StatusResponse> callback) {
            send(
                    "",
                    Optional.empty(),
                    statement,
                    result ->
                            callback.accept(
                                    new StatusResponse(
                                            result.isPresent(),
                                            result.filter(StatementResult::isSuccessful)
                                                    .map(
                                                            success ->
                                                                    new InstanceStatus(
                                                                            primary,
                                                                            term,
                                                                            receivedPosition,
                                                                            pauseTerm)))));
        }

        @Override
        public void close() {
            reset();
        }

        private void executeNext() {
            if (closed
                    || unresponsive
                    || stalled
                    || pendingStatements.isEmpty()
                    || !reachable.test(id)) {
                return;
            }
            PendingStatement pending = pendingStatements.peek();
            boolean needsReplica = pending.statement().isWriteOrCommit();
            if (needsReplica && primary && !service.hasReceivingReplica(FakeInstance.this)) {
                service.clock.schedule(this::executeNext, Duration.ofMillis(20));
                return;
            }
            pendingStatements.poll();
            runningStatements -= pending.requestId().isEmpty() ? 0 : 1;
            StatementResult result = execute(pending);
            if (!pending.requestId().isEmpty() && remainingDrops > 0 && result.isSuccessful()) {
                remainingDrops--;
                reset();
                pending.callback().accept(Optional.empty());
                return;
            }
            if (needsReplica && result.isSuccessful()) {
                service.onCommitAcknowledged(result.logPosition().orElseThrow());
            }
            pending.callback().accept(Optional.of(result));
        }

        private StatementResult execute(PendingStatement pending) {
            Statement statement = pending.statement();
            if (!pending.requestId().isEmpty() && remainingFailures > 0) {
                remainingFailures--;
                return fail(injectedFailure.orElseThrow());
            }
            if (statement instanceof Statement.QueryStatus) {
                statusQueryCount++;
                if (remainingStatusFailures > 0) {
                    remainingStatusFailures--;
                    return fail(FailureCode.BUSY);
                }
            }
            if (pending.requiredPosition()
                    .filter(position -> !receivedPosition.isAtLeast(position))
                    .isPresent()) {
                return fail(FailureCode.REPLICA_BEHIND);
            }
            boolean isPrimary = primary;
            if (statement instanceof Statement.Begin begin) {
                if (!begin.isReadOnly() && !isPrimary) {
                    return fail(FailureCode.NOT_PRIMARY);
                }
                readWrite = !begin.isReadOnly();
                transactionState = TransactionState.OPEN;
            } else if (transactionState == TransactionState.OPEN && readWrite && !isPrimary) {
                transactionState = TransactionState.FAILED;
                if (!(statement instanceof Statement.Rollback)) {
                    return fail(FailureCode.NOT_PRIMARY);
                }
            } else if (statement instanceof Statement.Write && !isPrimary) {
                return fail(FailureCode.NOT_PRIMARY);
            }
            apply(pending);
            return new StatementResult(
                    List.of(),
                    "signed-by-" + id,
                    Optional.empty(),
                    transactionState,
                    Optional.of(receivedPosition));
        }

        private void apply(PendingStatement pending) {
            Statement statement = pending.statement();
            if (statement instanceof Statement.Write && transactionState == TransactionState.IDLE) {
                service.commit(FakeInstance.this);
            } else if (statement instanceof Statement.Commit) {
                if (readWrite) {
                    service.commit(FakeInstance.this);
                }
                transactionState = TransactionState.IDLE;
            } else if (statement instanceof Statement.Rollback) {
                transactionState = TransactionState.IDLE;
            } else if (statement instanceof Statement.SetVariable variable) {
                sessionVariables.put(variable.name(), variable.value());
            } else if (statement instanceof Statement.Reset) {
                sessionVariables.clear();
                preparedStatements.clear();
            } else if (statement instanceof Statement.Prepare prepare) {
                preparedStatements.add(prepare.name());
            } else if (statement instanceof Statement.PauseReplication pause && !primary) {
                pauseTerm = pause.term();
            } else if (statement instanceof Statement.ResumeReplication) {
                pauseTerm = Term.ZERO;
            } else if (statement instanceof Statement.StepDown stepDown) {
                stepDownCount++;
                service.stepDown(FakeInstance.this, stepDown.term());
            }
            if (!pending.requestId().isEmpty()) {
                executedStatements.add(
                        pending.requestId() + " " + statement + " " + sessionVariables);
            }
        }

        private StatementResult fail(FailureCode code) {
            if (transactionState == TransactionState.OPEN && code != FailureCode.BUSY) {
                transactionState = TransactionState.FAILED;
            }
            return new StatementResult(
                    List.of(),
                    StatementResult.UNSIGNED,
                    Optional.of(Failure.of(code, id.value())),
                    transactionState,
                    Optional.of(receivedPosition));
        }

        private void reset() {
            if (markClosed()) {
                listener.onLost();
                List<PendingStatement> unanswered = List.copyOf(pendingStatements);
                pendingStatements.clear();
                unanswered.forEach(pending -> pending.callback().accept(Optional.empty()));
            }
        }

        private boolean markClosed() {
            boolean wasOpen = !closed;
            closed = true;
            connections.remove(this);
            return wasOpen;
        }
    }
}
