package org.carobstage.transaction;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.BackendStatement;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.document.RequestPolicy;
import org.carobstage.error.ErrorCode;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.group.Group;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;
import org.carobstage.pool.AcquireResult;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.Clock;
import org.carobstage.statement.IdempotencyKeyFactory;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;
import org.carobstage.statement.StatementRunner;

/**
 * The open transactions of this process. Each is pinned to one connection to the primary and can be
 * used only with its id. All methods run on the worker thread.
 */
public final class TransactionRegistry {
    private final VmId vm;
    private final Clock clock;
    private final BoundedExecutor workerThread;
    private final EventLog events;
    private final StatementRunner runner;
    private final IdempotencyKeyFactory keys;
    private final Map<TransactionId, OpenTransaction> open = new HashMap<>();

    private TransactionRegistry(
            VmId vm,
            Clock clock,
            BoundedExecutor workerThread,
            EventLog events,
            StatementRunner runner,
            IdempotencyKeyFactory keys) {
        this.vm = vm;
        this.clock = clock;
        this.workerThread = workerThread;
        this.events = events;
        this.runner = runner;
        this.keys = keys;
    }

    /**
     * Creates a registry without transactions.
     *
     * @param vm the VM of this process
     * @param clock the runtime's clock
     * @param workerThread runs the steps one at a time
     * @param events records rolled-back transactions
     * @param runner looks up the outcome of a commit
     * @param keys generates keys for commits without one
     * @return the registry
     */
    public static TransactionRegistry of(
            VmId vm,
            Clock clock,
            BoundedExecutor workerThread,
            EventLog events,
            StatementRunner runner,
            IdempotencyKeyFactory keys) {
        requireNonNull(vm, "vm is null");
        return new TransactionRegistry(vm, clock, workerThread, events, runner, keys);
    }

    /**
     * Returns the number of open transactions.
     *
     * @return the number
     */
    public int openCount() {
        return open.size();
    }

    /**
     * Opens a transaction at the primary of a group.
     *
     * @param group the group
     * @param service the caller's service
     * @param policy the policy of the transaction's request class
     * @return the transaction or the reason why none was opened; the stage never completes
     *     exceptionally
     */
    public CompletionStage<BeginResult> begin(
            Group group, ServiceName service, RequestPolicy policy) {
        Optional<ReplicationStatus> primary = group.view().primary();
        if (primary.isEmpty()) {
            return completed(refusedBegin(ErrorCode.NO_INSTANCE, "no primary is known"));
        }
        ReplicationStatus status = primary.get();
        return group.pool(status.instance())
                .acquire(service, policy.patience())
                .thenComposeAsync(
                        acquireResult ->
                                acquireResult
                                        .connection()
                                        .map(c -> begin(group, service, policy, status, c))
                                        .orElseGet(TransactionRegistry::overloaded),
                        workerThread);
    }

    /**
     * Runs a statement in a transaction.
     *
     * @param id the transaction
     * @param service the caller's service
     * @param sql the SQL text
     * @param parameters the values of the placeholders
     * @return the outcome; the stage never completes exceptionally
     */
    public CompletionStage<Outcome> execute(
            TransactionId id, ServiceName service, String sql, List<Object> parameters) {
        return withSlot(
                id,
                service,
                transaction -> {
                    BackendStatement statement =
                            new BackendStatement(
                                    transaction.term(),
                                    sql,
                                    parameters,
                                    false,
                                    LogPosition.empty(),
                                    Optional.empty());
                    return transaction
                            .connection()
                            .execute(statement, transaction.patience())
                            .thenComposeAsync(
                                    result -> handleExecute(id, transaction, result), workerThread);
                });
    }

    /**
     * Commits a transaction.
     *
     * @param id the transaction
     * @param service the caller's service
     * @param key the caller's idempotency key, if any
     * @return the outcome; the stage never completes exceptionally
     */
    public CompletionStage<Outcome> commit(
            TransactionId id, ServiceName service, Optional<IdempotencyKey> key) {
        IdempotencyKey callerKey = key.orElseGet(keys::generate);
        IdempotencyKey recordedKey = IdempotencyKeyFactory.scope(service, callerKey);
        return withSlot(
                id,
                service,
                transaction -> {
                    open.remove(id);
                    long deadlineNanos = clock.nanoTime() + transaction.patience().toNanos();
                    return transaction
                            .connection()
                            .commit(recordedKey, transaction.commitTimeout())
                            .thenComposeAsync(
                                    result ->
                                            handleCommit(
                                                    transaction, callerKey, deadlineNanos, result),
                                    workerThread);
                });
    }

    /**
     * Rolls a transaction back.
     *
     * @param id the transaction
     * @param service the caller's service
     * @return the outcome; the stage never completes exceptionally
     */
    public CompletionStage<Outcome> rollback(TransactionId id, ServiceName service) {
        return withTransaction(
                id,
                service,
                transaction -> {
                    open.remove(id);
                    return transaction
                            .connection()
                            .rollback(transaction.patience())
                            .thenApplyAsync(
                                    result -> handleRollback(transaction, result), workerThread);
                });
    }

    private CompletionStage<BeginResult> begin(
            Group group,
            ServiceName service,
            RequestPolicy policy,
            ReplicationStatus primary,
            BackendConnection connection) {
        OpenTransaction transaction =
                new OpenTransaction(
                        service,
                        policy,
                        group,
                        primary.instance(),
                        primary.promisedTerm(),
                        connection);
        return connection
                .begin(primary.promisedTerm(), policy.patience())
                .thenApplyAsync(result -> handleBegin(transaction, result), workerThread);
    }

    private BeginResult handleBegin(OpenTransaction transaction, BackendResult result) {
        if (!(result instanceof BackendResult.Done)) {
            transaction.release(false);
            return refusedBegin(
                    ErrorCode.NO_INSTANCE, "the primary did not begin the transaction: " + result);
        }
        TransactionId id = TransactionId.generate(vm);
        open.put(id, transaction);
        transaction.endExchange(idleTimer(id, transaction.patience()));
        return new BeginResult.Begun(id);
    }

    private CompletionStage<Outcome> withTransaction(
            TransactionId id,
            ServiceName service,
            Function<OpenTransaction, CompletionStage<Outcome>> work) {
        OpenTransaction transaction = open.get(id);
        if (transaction == null || !transaction.service().equals(service)) {
            return completed(
                    notRun(ErrorCode.UNKNOWN_TRANSACTION, "no such transaction on this VM"));
        }
        if (transaction.isBusy()) {
            return completed(
                    notRun(
                            ErrorCode.CONFLICT,
                            "another request of the transaction is in progress"));
        }
        transaction.startExchange();
        return work.apply(transaction);
    }

    private CompletionStage<Outcome> withSlot(
            TransactionId id,
            ServiceName service,
            Function<OpenTransaction, CompletionStage<Outcome>> work) {
        return withTransaction(
                id,
                service,
                transaction ->
                        transaction
                                .acquireSlot()
                                .thenComposeAsync(
                                        acquireResult ->
                                                acquireResult.connection().isPresent()
                                                        ? work.apply(transaction)
                                                        : handleSlotRefusal(
                                                                id, transaction, acquireResult),
                                        workerThread));
    }

    /** The statement did not run; the transaction stays open. */
    private CompletionStage<Outcome> handleSlotRefusal(
            TransactionId id, OpenTransaction transaction, AcquireResult acquireResult) {
        transaction.endExchange(idleTimer(id, transaction.patience()));
        String detail = "no slot became free within the patience";
        Optional<Duration> retryAfter = Optional.of(acquireResult.retryAfter());
        return completed(new Outcome.NotRun(ErrorCode.OVERLOADED, detail, retryAfter));
    }

    private CompletionStage<Outcome> handleExecute(
            TransactionId id, OpenTransaction transaction, BackendResult result) {
        if (result instanceof BackendResult.Done done) {
            transaction.endExchange(idleTimer(id, transaction.patience()));
            return done.columns().isEmpty()
                    ? completed(Outcome.Done.of(done, false))
                    : confirmRead(id, transaction, done);
        }
        end(id, transaction, "statement failed");
        boolean isStatement =
                result instanceof BackendResult.Refused refused
                        && refused.reason() == Refusal.STATEMENT;
        ErrorCode code = isStatement ? ErrorCode.STATEMENT_REFUSED : ErrorCode.TRANSACTION_LOST;
        return completed(notRun(code, "rolled back: " + result));
    }

    /** Rows returned to a caller must survive a promotion, also inside a transaction. */
    private CompletionStage<Outcome> confirmRead(
            TransactionId id, OpenTransaction transaction, BackendResult.Done done) {
        return transaction
                .group()
                .quorumConfirmer()
                .confirm(
                        done.status().instance(),
                        done.status().lastPosition(),
                        transaction.patience())
                .thenApplyAsync(
                        isConfirmed -> {
                            if (isConfirmed) {
                                return Outcome.Done.of(done, false);
                            }
                            end(id, transaction, "no majority confirmed the read");
                            return notRun(ErrorCode.TRANSACTION_LOST, "rolled back");
                        },
                        workerThread);
    }

    private CompletionStage<Outcome> handleCommit(
            OpenTransaction transaction,
            IdempotencyKey key,
            long deadlineNanos,
            BackendResult result) {
        transaction.release(result instanceof BackendResult.Done);
        if (result instanceof BackendResult.Refused refused) {
            return completed(notRun(ErrorCode.TRANSACTION_LOST, refused.detail()));
        }
        if (result instanceof BackendResult.Done done) {
            Duration remainingTime =
                    Duration.ofNanos(Math.max(deadlineNanos - clock.nanoTime(), 1));
            return transaction
                    .group()
                    .quorumConfirmer()
                    .confirm(done.status().instance(), done.status().lastPosition(), remainingTime)
                    .thenComposeAsync(
                            isConfirmed ->
                                    isConfirmed
                                            ? completed(Outcome.Done.of(done, false))
                                            : resolveCommit(transaction, key, deadlineNanos),
                            workerThread);
        }
        return resolveCommit(transaction, key, deadlineNanos);
    }

    private CompletionStage<Outcome> resolveCommit(
            OpenTransaction transaction, IdempotencyKey key, long deadlineNanos) {
        Group group = transaction.group();
        StatementRequest lookUp =
                StatementRequest.lookUp(
                        transaction.service(),
                        group.view().spec().id(),
                        transaction.policy(),
                        key,
                        deadlineNanos);
        return runner.resolveOutcome(group, lookUp, transaction.term());
    }

    private Outcome handleRollback(OpenTransaction transaction, BackendResult result) {
        transaction.release(result instanceof BackendResult.Done);
        return result instanceof BackendResult.Done done
                ? Outcome.Done.of(done, false)
                : notRun(ErrorCode.TRANSACTION_LOST, "rolled back by closing its connection");
    }

    private Clock.Timer idleTimer(TransactionId id, Duration patience) {
        return clock.schedule(() -> workerThread.execute(() -> expire(id)), patience);
    }

    private void expire(TransactionId id) {
        OpenTransaction transaction = open.get(id);
        if (transaction != null && !transaction.isBusy()) {
            end(id, transaction, "idle for longer than the patience");
        }
    }

    private void end(TransactionId id, OpenTransaction transaction, String reason) {
        if (open.remove(id) != null) {
            transaction.release(false);
            events.record(
                    EventCode.TRANSACTION_ROLLED_BACK,
                    EventScope.of(transaction.group().view().spec().id()),
                    reason);
        }
    }

    private static Outcome notRun(ErrorCode code, String detail) {
        return new Outcome.NotRun(code, detail, Optional.empty());
    }

    private static BeginResult refusedBegin(ErrorCode code, String detail) {
        return new BeginResult.Refused(new Outcome.NotRun(code, detail, Optional.empty()));
    }

    private static CompletionStage<BeginResult> overloaded() {
        return completed(refusedBegin(ErrorCode.OVERLOADED, "no connection became free in time"));
    }

    private static <T> CompletionStage<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }
}
