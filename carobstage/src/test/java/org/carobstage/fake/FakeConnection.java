package org.carobstage.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.carobstage.model.AccountName;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;
import org.carobstage.upstream.InstanceConnection;
import org.carobstage.upstream.InstanceConnector;

/** One connection, which responds to statements in the order in which they were sent. */
final class FakeConnection implements InstanceConnection {
    private final FakeInstance instance;
    private final FakeService service;
    private final InstanceConnector.Listener listener;
    private final Optional<AccountName> account;
    private final Predicate<InstanceId> reachable;
    private final Deque<PendingStatement> pendingStatements = new ArrayDeque<>();
    private final Map<String, String> sessionVariables = new HashMap<>();
    final Set<String> preparedStatements = new HashSet<>();
    private TransactionState transactionState = TransactionState.IDLE;
    private final MessageFilter filter;
    private Optional<LogPosition> commitPosition = Optional.empty();
    private int executionsDuringCommit;
    private boolean readWrite;
    boolean stalled;
    private boolean closed;

    /** A process resets a connection that it closes while statements have no result. */
    private boolean resetByPeer;

    FakeConnection(
            FakeInstance instance,
            InstanceConnector.Listener listener,
            Optional<AccountName> account,
            Predicate<InstanceId> reachable,
            MessageFilter filter) {
        this.instance = instance;
        this.service = instance.service;
        this.listener = listener;
        this.account = account;
        this.reachable = reachable;
        this.filter = filter;
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
        instance.runningStatements += requestId.isEmpty() ? 0 : 1;
        instance.maxConcurrentStatements =
                Math.max(instance.maxConcurrentStatements, instance.runningStatements);
        boolean hasStatementDuration =
                statement instanceof Statement.Read
                        || statement instanceof Statement.Execute
                        || statement.isWriteOrCommit();
        service.clock.schedule(
                this::executeNext,
                hasStatementDuration ? instance.statementDuration : Duration.ofMillis(1));
    }

    @Override
    public void sendControlCommand(Statement statement, Consumer<StatusResponse> callback) {
        MessageFilter.Fate fate = filter.fateOf(nameOf(statement));
        stalled |= !fate.answered();
        if (!fate.answered() && fate.executed()) {
            int restarts = instance.restartCount;
            service.clock.schedule(
                    () -> executeUnanswered(statement, restarts), fate.delay().plusMillis(1));
        }
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
                                                                        instance.primary,
                                                                        instance.term,
                                                                        instance.receivedPosition,
                                                                        instance.pauseTerm)))));
    }

    private String nameOf(Statement command) {
        String kind = command.getClass().getSimpleName();
        return kind.replaceAll("(Replication|Query)", "").toUpperCase(Locale.ROOT)
                + " "
                + instance.id;
    }

    private void executeUnanswered(Statement command, int restarts) {
        if (!instance.crashed && !instance.unresponsive && restarts == instance.restartCount) {
            applyCommand(command);
        }
    }

    @Override
    public void close() {
        List<PendingStatement> unread = List.copyOf(pendingStatements);
        resetByPeer |= !unread.isEmpty();
        reset();
        if (instance.unresponsive && !stalled) {
            unread.stream().map(PendingStatement::withoutCallback).forEach(pendingStatements::add);
            instance.unreadConnections.add(this);
        }
    }

    /** Executes what has arrived, also on a connection that was closed meanwhile. */
    void scheduleAll() {
        pendingStatements.forEach(
                s -> service.clock.schedule(this::executeNext, Duration.ofMillis(1)));
    }

    private void executeNext() {
        if (commitPosition.isPresent()) {
            executionsDuringCommit++;
            return;
        }
        if (pendingStatements.isEmpty()
                || instance.unresponsive
                || instance.crashed
                || stalled
                || !reachable.test(instance.id)) {
            return;
        }
        PendingStatement pending = pendingStatements.peek();
        StatementResult result = execute(pending);
        if (commitPosition.isEmpty()) {
            respond(pending, result);
            return;
        }
        instance.pendingCommits.add(
                commitPosition.get(), acknowledged -> endCommit(pending, result, acknowledged));
        service.replicate(instance);
    }

    private void endCommit(PendingStatement pending, StatementResult result, boolean acknowledged) {
        if (acknowledged) {
            service.onCommitAcknowledged(commitPosition.orElseThrow(), !resetByPeer);
        }
        commitPosition = Optional.empty();
        if (!acknowledged) {
            reset();
        } else if (pendingStatements.peek() == pending) {
            int missed = executionsDuringCommit;
            executionsDuringCommit = 0;
            respond(pending, result);
            for (int i = 0; i < missed; i++) {
                service.clock.schedule(this::executeNext, Duration.ofMillis(1));
            }
        }
    }

    private void respond(PendingStatement pending, StatementResult result) {
        pendingStatements.poll();
        instance.runningStatements -= pending.requestId().isEmpty() ? 0 : 1;
        if (!pending.requestId().isEmpty()
                && instance.remainingDrops > 0
                && result.isSuccessful()) {
            instance.remainingDrops--;
            reset();
            pending.callback().accept(Optional.empty());
            return;
        }
        pending.callback().accept(Optional.of(result));
    }

    private StatementResult execute(PendingStatement pending) {
        Statement statement = pending.statement();
        if (!pending.requestId().isEmpty() && instance.remainingFailures > 0) {
            instance.remainingFailures--;
            return fail(instance.injectedFailure.orElseThrow());
        }
        if (statement instanceof Statement.QueryStatus) {
            instance.statusQueryCount++;
            if (instance.remainingStatusFailures > 0) {
                instance.remainingStatusFailures--;
                return fail(FailureCode.BUSY);
            }
        }
        if (pending.requiredPosition()
                .filter(position -> !instance.receivedPosition.isAtLeast(position))
                .isPresent()) {
            return fail(FailureCode.REPLICA_BEHIND);
        }
        boolean isPrimary = instance.primary;
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
                "signed-by-" + instance.id,
                Optional.empty(),
                transactionState,
                Optional.of(instance.receivedPosition));
    }

    private void apply(PendingStatement pending) {
        Statement statement = pending.statement();
        if (statement instanceof Statement.Write && transactionState == TransactionState.IDLE) {
            commitPosition = Optional.of(service.commit(instance));
        } else if (statement instanceof Statement.Commit) {
            if (readWrite) {
                commitPosition = Optional.of(service.commit(instance));
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
        } else {
            applyCommand(statement);
        }
        if (!pending.requestId().isEmpty()) {
            instance.executingAccounts.put(pending.requestId(), account);
            instance.executedStatements.add(
                    pending.requestId() + " " + statement + " " + sessionVariables);
        }
    }

    private void applyCommand(Statement command) {
        if (command instanceof Statement.PauseReplication pause) {
            instance.pauseReplication(pause.term());
        } else if (command instanceof Statement.ResumeReplication) {
            instance.resumeReplication();
        } else if (command instanceof Statement.StepDown stepDown) {
            instance.stepDownCount++;
            service.stepDown(instance, stepDown.term());
        }
    }

    private StatementResult fail(FailureCode code) {
        if (transactionState == TransactionState.OPEN && code != FailureCode.BUSY) {
            transactionState = TransactionState.FAILED;
        }
        return new StatementResult(
                List.of(),
                StatementResult.UNSIGNED,
                Optional.of(Failure.of(code, instance.id.value())),
                transactionState,
                Optional.of(instance.receivedPosition));
    }

    void reset() {
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
        instance.connections.remove(this);
        return wasOpen;
    }

    private record PendingStatement(
            String requestId,
            Optional<LogPosition> requiredPosition,
            Statement statement,
            Consumer<Optional<StatementResult>> callback) {
        /** Returns the statement of a connection that its peer has closed. */
        PendingStatement withoutCallback() {
            return new PendingStatement(requestId, requiredPosition, statement, result -> {});
        }
    }
}
