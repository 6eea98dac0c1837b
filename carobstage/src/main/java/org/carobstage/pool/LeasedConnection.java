package org.carobstage.pool;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.BackendStatement;
import org.carobstage.backend.Refusal;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.retry.Backoff;
import org.carobstage.retry.RetryBudget;

/**
 * A connection leased to a caller. A statement that the instance refuses for lack of a slot is
 * retried within the statement's timeout and the retry budget.
 */
final class LeasedConnection implements BackendConnection {
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(2);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(50);

    private final PoolEntry poolEntry;
    private final ServiceName service;
    private final PoolContext context;
    private final RetryBudget budget;
    private final Backoff backoff;
    private long grantedNanos;
    private boolean slotReleased;
    private boolean released;

    LeasedConnection(PoolEntry entry, ServiceName service, PoolContext context) {
        this.poolEntry = entry;
        this.service = service;
        this.context = context;
        this.budget = context.retryBudgets().get(context.group(), service);
        this.backoff = new Backoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, context.random());
        this.grantedNanos = now();
    }

    @Override
    public CompletionStage<BackendResult> execute(BackendStatement statement, Duration timeout) {
        return executeWithRetry(
                remaining -> poolEntry.connection().execute(statement, remaining), timeout);
    }

    @Override
    public CompletionStage<BackendResult> begin(Term term, Duration timeout) {
        return poolEntry.connection().begin(term, timeout);
    }

    @Override
    public CompletionStage<BackendResult> commit(IdempotencyKey key, Duration timeout) {
        return executeWithRetry(
                remaining -> poolEntry.connection().commit(key, remaining), timeout);
    }

    @Override
    public CompletionStage<BackendResult> rollback(Duration timeout) {
        return poolEntry.connection().rollback(timeout);
    }

    @Override
    public CompletionStage<BackendResult> lookUpOutcome(
            Term term, IdempotencyKey key, Duration timeout) {
        return poolEntry.connection().lookUpOutcome(term, key, timeout);
    }

    @Override
    public CompletionStage<BackendResult> ping(Duration timeout) {
        return poolEntry.connection().ping(timeout);
    }

    @Override
    public void close() {
        poolEntry.connection().close();
    }

    PoolEntry poolEntry() {
        return poolEntry;
    }

    ServiceName service() {
        return service;
    }

    long grantedNanos() {
        return grantedNanos;
    }

    boolean isSlotReleased() {
        return slotReleased;
    }

    void markSlotReleased() {
        slotReleased = true;
    }

    void markSlotReacquired() {
        slotReleased = false;
        grantedNanos = now();
    }

    boolean isReleased() {
        return released;
    }

    /** Marks the lease as released; returns false if it was released before. */
    boolean tryRelease() {
        boolean wasLeased = !released;
        released = true;
        return wasLeased;
    }

    private CompletionStage<BackendResult> executeWithRetry(
            Function<Duration, CompletionStage<BackendResult>> request, Duration timeout) {
        budget.deposit();
        return attempt(request, now() + timeout.toNanos(), 1);
    }

    private CompletionStage<BackendResult> attempt(
            Function<Duration, CompletionStage<BackendResult>> request,
            long deadlineNanos,
            int attemptNumber) {
        Duration remaining = Duration.ofNanos(Math.max(1, deadlineNanos - now()));
        return request.apply(remaining)
                .thenComposeAsync(
                        result -> retryIfAtLimit(request, result, deadlineNanos, attemptNumber),
                        context.executor());
    }

    private CompletionStage<BackendResult> retryIfAtLimit(
            Function<Duration, CompletionStage<BackendResult>> request,
            BackendResult result,
            long deadlineNanos,
            int attemptNumber) {
        boolean atLimit = result instanceof BackendResult.Refused r && r.reason() == Refusal.LIMIT;
        if (!atLimit) {
            return CompletableFuture.completedFuture(result);
        }
        context.metrics().recordLimitRefusal();
        Duration delay = backoff.delay(attemptNumber);
        boolean beforeDeadline = now() + delay.toNanos() - deadlineNanos < 0;
        if (!beforeDeadline || !budget.tryWithdraw(now())) {
            return CompletableFuture.completedFuture(result);
        }
        context.metrics().recordRetry();
        CompletableFuture<BackendResult> retryResult = new CompletableFuture<>();
        context.clock()
                .schedule(
                        () ->
                                context.executor()
                                        .execute(
                                                () ->
                                                        attempt(
                                                                        request,
                                                                        deadlineNanos,
                                                                        attemptNumber + 1)
                                                                .thenAccept(retryResult::complete)),
                        delay);
        return retryResult;
    }

    private long now() {
        return context.clock().nanoTime();
    }
}
