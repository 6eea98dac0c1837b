package org.carobstage.pool;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.carobstage.backend.Answer;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.Statement;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.retry.Backoff;
import org.carobstage.retry.RetryBudget;

/**
 * A connection while a caller's statement has it. A refusal because the instance has no slot is
 * tried again within the statement's timeout and the retry budget.
 */
final class Lease implements BackendConnection {
    private static final Duration FIRST_DELAY = Duration.ofMillis(2);
    private static final Duration LONGEST_DELAY = Duration.ofMillis(50);

    private final Pooled pooled;
    private final ServiceName service;
    private final PoolRuntime runtime;
    private final RetryBudget budget;
    private final Backoff backoff;
    private long grantedNanos;
    private boolean paused;
    private boolean ended;

    Lease(Pooled pooled, ServiceName service, PoolRuntime runtime) {
        this.pooled = pooled;
        this.service = service;
        this.runtime = runtime;
        this.budget = runtime.budgets().get(runtime.group(), service);
        this.backoff = new Backoff(FIRST_DELAY, LONGEST_DELAY, runtime.random());
        this.grantedNanos = now();
    }

    @Override
    public CompletionStage<Answer> execute(Statement statement, Duration timeout) {
        return inSlot(left -> pooled.connection().execute(statement, left), timeout);
    }

    @Override
    public CompletionStage<Answer> begin(Term term, Duration timeout) {
        return pooled.connection().begin(term, timeout);
    }

    @Override
    public CompletionStage<Answer> commit(IdempotencyKey key, Duration timeout) {
        return inSlot(left -> pooled.connection().commit(key, left), timeout);
    }

    @Override
    public CompletionStage<Answer> rollback(Duration timeout) {
        return pooled.connection().rollback(timeout);
    }

    @Override
    public CompletionStage<Answer> lookup(Term term, IdempotencyKey key, Duration timeout) {
        return pooled.connection().lookup(term, key, timeout);
    }

    @Override
    public CompletionStage<Answer> ping(Duration timeout) {
        return pooled.connection().ping(timeout);
    }

    @Override
    public void close() {
        pooled.connection().close();
    }

    Pooled pooled() {
        return pooled;
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

    boolean isEnded() {
        return ended;
    }

    /** Ends the lease; false if it had ended before. */
    boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    private CompletionStage<Answer> inSlot(
            Function<Duration, CompletionStage<Answer>> exchange, Duration timeout) {
        budget.firstTry();
        return attempt(exchange, now() + timeout.toNanos(), 1);
    }

    private CompletionStage<Answer> attempt(
            Function<Duration, CompletionStage<Answer>> exchange, long deadline, int number) {
        Duration left = Duration.ofNanos(Math.max(1, deadline - now()));
        return exchange.apply(left)
                .thenComposeAsync(
                        answer -> checkLimit(exchange, answer, deadline, number), runtime.duty());
    }

    private CompletionStage<Answer> checkLimit(
            Function<Duration, CompletionStage<Answer>> exchange,
            Answer answer,
            long deadline,
            int number) {
        boolean atLimit = answer instanceof Answer.Refused r && r.reason() == Refusal.LIMIT;
        if (!atLimit) {
            return CompletableFuture.completedFuture(answer);
        }
        runtime.metrics().limitRefused();
        Duration delay = backoff.delay(number);
        boolean fits = now() + delay.toNanos() - deadline < 0;
        if (!fits || !budget.tryRetry(now())) {
            return CompletableFuture.completedFuture(answer);
        }
        runtime.metrics().retried();
        CompletableFuture<Answer> later = new CompletableFuture<>();
        runtime.clock()
                .schedule(
                        () ->
                                runtime.duty()
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
