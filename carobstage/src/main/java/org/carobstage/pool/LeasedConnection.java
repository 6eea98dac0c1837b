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
 * A connection while a caller's statement has it. A refusal because the instance has no slot is
 * tried again within the statement's timeout and the retry budget.
 */
final class LeasedConnection implements BackendConnection {
    private static final Duration FIRST_DELAY = Duration.ofMillis(2);
    private static final Duration LONGEST_DELAY = Duration.ofMillis(50);

    private final PoolEntry poolEntry;
    private final ServiceName service;
    private final PoolContext runtime;
    private final RetryBudget budget;
    private final Backoff backoff;
    private long grantedNanos;
    private boolean paused;
    private boolean ended;

    LeasedConnection(PoolEntry pooled, ServiceName service, PoolContext runtime) {
        this.poolEntry = pooled;
        this.service = service;
        this.runtime = runtime;
        this.budget = runtime.retryBudgets().get(runtime.group(), service);
        this.backoff = new Backoff(FIRST_DELAY, LONGEST_DELAY, runtime.random());
        this.grantedNanos = now();
    }

    @Override
    public CompletionStage<BackendResult> execute(BackendStatement statement, Duration timeout) {
        return inSlot(left -> poolEntry.connection().execute(statement, left), timeout);
    }

    @Override
    public CompletionStage<BackendResult> begin(Term term, Duration timeout) {
        return poolEntry.connection().begin(term, timeout);
    }

    @Override
    public CompletionStage<BackendResult> commit(IdempotencyKey key, Duration timeout) {
        return inSlot(left -> poolEntry.connection().commit(key, left), timeout);
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

    boolean isPaused() {
        return paused;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        grantedNanos = now();
    }

    boolean isReleased() {
        return ended;
    }

    /** Ends the lease; false if it had ended before. */
    boolean tryRelease() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    private CompletionStage<BackendResult> inSlot(
            Function<Duration, CompletionStage<BackendResult>> exchange, Duration timeout) {
        budget.deposit();
        return attempt(exchange, now() + timeout.toNanos(), 1);
    }

    private CompletionStage<BackendResult> attempt(
            Function<Duration, CompletionStage<BackendResult>> exchange,
            long deadline,
            int number) {
        Duration left = Duration.ofNanos(Math.max(1, deadline - now()));
        return exchange.apply(left)
                .thenComposeAsync(
                        answer -> checkLimit(exchange, answer, deadline, number),
                        runtime.executor());
    }

    private CompletionStage<BackendResult> checkLimit(
            Function<Duration, CompletionStage<BackendResult>> exchange,
            BackendResult answer,
            long deadline,
            int number) {
        boolean atLimit = answer instanceof BackendResult.Refused r && r.reason() == Refusal.LIMIT;
        if (!atLimit) {
            return CompletableFuture.completedFuture(answer);
        }
        runtime.metrics().recordLimitRefusal();
        Duration delay = backoff.delay(number);
        boolean fits = now() + delay.toNanos() - deadline < 0;
        if (!fits || !budget.tryWithdraw(now())) {
            return CompletableFuture.completedFuture(answer);
        }
        runtime.metrics().recordRetry();
        CompletableFuture<BackendResult> later = new CompletableFuture<>();
        runtime.clock()
                .schedule(
                        () ->
                                runtime.executor()
                                        .execute(
                                                () ->
                                                        attempt(exchange, deadline, number + 1)
                                                                .thenAccept(later::complete)),
                        delay);
        return later;
    }

    private long now() {
        return runtime.clock().nanoTime();
    }
}
