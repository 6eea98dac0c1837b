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
 * The open transactions of this process. Each is pinned to one connection of the primary, and only
 * who knows its id can use it. All methods run on the duty.
 */
public final class TransactionRegistry {
    private final VmId vm;
    private final Clock clock;
    private final BoundedExecutor duty;
    private final EventLog events;
    private final StatementRunner runner;
    private final IdempotencyKeyFactory keys;
    private final Map<TransactionId, OpenTransaction> open = new HashMap<>();

    private TransactionRegistry(
            VmId vm,
            Clock clock,
            BoundedExecutor duty,
            EventLog events,
            StatementRunner runner,
            IdempotencyKeyFactory keys) {
        this.vm = vm;
        this.clock = clock;
        this.duty = duty;
        this.events = events;
        this.runner = runner;
        this.keys = keys;
    }

    /**
     * Creates a table without transactions.
     *
     * @param vm the VM of this process
     * @param clock the runtime's clock
     * @param duty runs the steps one at a time
     * @param events records what is decided
     * @param runner finds out what became of a commit
     * @param keys makes keys for commits that come without one
     * @return the table
     */
    public static TransactionRegistry of(
            VmId vm,
            Clock clock,
            BoundedExecutor duty,
            EventLog events,
            StatementRunner runner,
            IdempotencyKeyFactory keys) {
        requireNonNull(vm, "vm is null");
        return new TransactionRegistry(vm, clock, duty, events, runner, keys);
    }

    /**
     * Returns how many transactions are open.
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
     * @return the transaction or why there is none; the stage never fails
     */
    public CompletionStage<BeginResult> begin(
            Group group, ServiceName service, RequestPolicy policy) {
        Optional<ReplicationStatus> primary = group.view().primary();
        if (primary.isEmpty()) {
            return completed(refusedBegin(ErrorCode.NO_INSTANCE, "no primary is known"));
        }
        ReplicationStatus standing = primary.get();
        return group.pool(standing.instance())
                .acquire(service, policy.patience())
                .thenComposeAsync(
                        grant ->
                                grant.connection()
                                        .map(c -> begin(group, service, policy, standing, c))
                                        .orElseGet(TransactionRegistry::overloaded),
                        duty);
    }

    /**
     * Runs a statement in a transaction.
     *
     * @param id the transaction
     * @param service the caller's service
     * @param sql the text
     * @param parameters the values of the placeholders
     * @return the outcome; the stage never fails
     */
    public CompletionStage<Outcome> execute(
            TransactionId id, ServiceName service, String sql, List<Object> parameters) {
        return useInSlot(
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
                            .thenComposeAsync(a -> executed(id, transaction, a), duty);
                });
    }

    /**
     * Commits a transaction.
     *
     * @param id the transaction
     * @param service the caller's service
     * @param key the caller's idempotency key, if any
     * @return the outcome; the stage never fails
     */
    public CompletionStage<Outcome> commit(
            TransactionId id, ServiceName service, Optional<IdempotencyKey> key) {
        IdempotencyKey callerKey = key.orElseGet(keys::generate);
        IdempotencyKey recorded = IdempotencyKeyFactory.scope(service, callerKey);
        return useInSlot(
                id,
                service,
                transaction -> {
                    open.remove(id);
                    long deadline = clock.nanoTime() + transaction.patience().toNanos();
                    return transaction
                            .connection()
                            .commit(recorded, transaction.commitTimeout())
                            .thenComposeAsync(
                                    a -> committed(transaction, callerKey, deadline, a), duty);
                });
    }

    /**
     * Rolls a transaction back.
     *
     * @param id the transaction
     * @param service the caller's service
     * @return the outcome; the stage never fails
     */
    public CompletionStage<Outcome> rollback(TransactionId id, ServiceName service) {
        return use(
                id,
                service,
                transaction -> {
                    open.remove(id);
                    return transaction
                            .connection()
                            .rollback(transaction.patience())
                            .thenApplyAsync(a -> rolledBack(transaction, a), duty);
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
                .thenApplyAsync(answer -> begun(transaction, answer), duty);
    }

    private BeginResult begun(OpenTransaction transaction, BackendResult answer) {
        if (!(answer instanceof BackendResult.Done)) {
            transaction.release(false);
            return refusedBegin(ErrorCode.NO_INSTANCE, "the primary did not begin: " + answer);
        }
        TransactionId id = TransactionId.generate(vm);
        open.put(id, transaction);
        transaction.endExchange(idleTimer(id, transaction.patience()));
        return new BeginResult.Begun(id);
    }

    private CompletionStage<Outcome> use(
            TransactionId id,
            ServiceName service,
            Function<OpenTransaction, CompletionStage<Outcome>> work) {
        OpenTransaction transaction = open.get(id);
        if (transaction == null || !transaction.service().equals(service)) {
            return completed(notRun(ErrorCode.UNKNOWN_TRANSACTION, "no such transaction here"));
        }
        if (transaction.isBusy()) {
            return completed(notRun(ErrorCode.CONFLICT, "the transaction runs a statement now"));
        }
        transaction.startExchange();
        return work.apply(transaction);
    }

    private CompletionStage<Outcome> useInSlot(
            TransactionId id,
            ServiceName service,
            Function<OpenTransaction, CompletionStage<Outcome>> work) {
        return use(
                id,
                service,
                transaction ->
                        transaction
                                .acquireSlot()
                                .thenComposeAsync(
                                        grant ->
                                                grant.connection().isPresent()
                                                        ? work.apply(transaction)
                                                        : refusedSlot(id, transaction, grant),
                                        duty));
    }

    /** The statement did not run; the transaction stays open. */
    private CompletionStage<Outcome> refusedSlot(
            TransactionId id, OpenTransaction transaction, AcquireResult grant) {
        transaction.endExchange(idleTimer(id, transaction.patience()));
        String detail = "no slot is free within the patience";
        Optional<Duration> retryAfter = Optional.of(grant.retryAfter());
        return completed(new Outcome.NotRun(ErrorCode.OVERLOADED, detail, retryAfter));
    }

    private CompletionStage<Outcome> executed(
            TransactionId id, OpenTransaction transaction, BackendResult answer) {
        if (answer instanceof BackendResult.Done done) {
            transaction.endExchange(idleTimer(id, transaction.patience()));
            return done.columns().isEmpty()
                    ? completed(Outcome.Done.of(done, false))
                    : proveRead(id, transaction, done);
        }
        end(id, transaction, "statement failed");
        boolean isStatement =
                answer instanceof BackendResult.Refused refused
                        && refused.reason() == Refusal.STATEMENT;
        ErrorCode code = isStatement ? ErrorCode.STATEMENT_REFUSED : ErrorCode.TRANSACTION_LOST;
        return completed(notRun(code, "rolled back: " + answer));
    }

    /** What a caller has been shown must not vanish in a promotion, inside a transaction too. */
    private CompletionStage<Outcome> proveRead(
            TransactionId id, OpenTransaction transaction, BackendResult.Done done) {
        return transaction
                .group()
                .quorumConfirmer()
                .confirm(
                        done.status().instance(),
                        done.status().lastPosition(),
                        transaction.patience())
                .thenApplyAsync(
                        proved -> {
                            if (proved) {
                                return Outcome.Done.of(done, false);
                            }
                            end(id, transaction, "read could not be confirmed");
                            return notRun(ErrorCode.TRANSACTION_LOST, "rolled back");
                        },
                        duty);
    }

    private CompletionStage<Outcome> committed(
            OpenTransaction transaction, IdempotencyKey key, long deadline, BackendResult answer) {
        transaction.release(answer instanceof BackendResult.Done);
        if (answer instanceof BackendResult.Refused refused) {
            return completed(notRun(ErrorCode.TRANSACTION_LOST, refused.detail()));
        }
        if (answer instanceof BackendResult.Done done) {
            Duration left = Duration.ofNanos(Math.max(deadline - clock.nanoTime(), 1));
            return transaction
                    .group()
                    .quorumConfirmer()
                    .confirm(done.status().instance(), done.status().lastPosition(), left)
                    .thenComposeAsync(
                            proved ->
                                    proved
                                            ? completed(Outcome.Done.of(done, false))
                                            : resolve(transaction, key, deadline),
                            duty);
        }
        return resolve(transaction, key, deadline);
    }

    private CompletionStage<Outcome> resolve(
            OpenTransaction transaction, IdempotencyKey key, long deadline) {
        Group group = transaction.group();
        StatementRequest lookUp =
                StatementRequest.lookUp(
                        transaction.service(),
                        group.view().spec().id(),
                        transaction.policy(),
                        key,
                        deadline);
        return runner.resolveOutcome(group, lookUp, transaction.term());
    }

    private Outcome rolledBack(OpenTransaction transaction, BackendResult answer) {
        transaction.release(answer instanceof BackendResult.Done);
        return answer instanceof BackendResult.Done done
                ? Outcome.Done.of(done, false)
                : notRun(ErrorCode.TRANSACTION_LOST, "rolled back with its connection");
    }

    private Clock.Timer idleTimer(TransactionId id, Duration patience) {
        return clock.schedule(() -> duty.execute(() -> expire(id)), patience);
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
