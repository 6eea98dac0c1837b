package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.BackendStatement;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.error.ErrorCode;
import org.carobstage.group.Group;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.Term;
import org.carobstage.pool.AcquireResult;
import org.carobstage.pool.InstancePool;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.Clock;

/** Runs statements, each with as many attempts as its patience and the retry policy allow. */
public final class StatementRunner {
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(5);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(40);
    private static final Duration MIN_EXCHANGE_TIMEOUT = Duration.ofMillis(100);
    private static final int EXCHANGES_PER_PATIENCE = 3;
    private static final BackendResult PRIMARY_REPLACED =
            new BackendResult.NoResponse(true, "the primary was replaced");

    private final Clock clock;
    private final BoundedExecutor workerThread;
    private final IdempotencyKeyFactory keys;

    private StatementRunner(Clock clock, BoundedExecutor workerThread, IdempotencyKeyFactory keys) {
        this.clock = clock;
        this.workerThread = workerThread;
        this.keys = keys;
    }

    /**
     * Creates a runner.
     *
     * @param clock the runtime's clock
     * @param workerThread runs the steps one at a time
     * @param keys generates keys for writes without one
     * @return the runner
     */
    public static StatementRunner of(
            Clock clock, BoundedExecutor workerThread, IdempotencyKeyFactory keys) {
        requireNonNull(clock, "clock is null");
        requireNonNull(workerThread, "workerThread is null");
        requireNonNull(keys, "keys is null");
        return new StatementRunner(clock, workerThread, keys);
    }

    /**
     * Runs a statement; must be called on the worker thread.
     *
     * @param group the group
     * @param request the statement
     * @return the outcome; the stage never completes exceptionally
     */
    public CompletionStage<Outcome> run(Group group, StatementRequest request) {
        Attempts attempts = new Attempts(group, request, recordedKey(request));
        attempts.handle(new StatementStep.Send(StatementProgress.empty()));
        return attempts.outcome;
    }

    /**
     * Looks up the outcome of a write; must be called on the worker thread.
     *
     * @param group the group
     * @param request a look-up of the write's key
     * @param term the highest term under which the write may have been sent
     * @return done, not run or unknown; the stage never completes exceptionally
     */
    public CompletionStage<Outcome> resolveOutcome(
            Group group, StatementRequest request, Term term) {
        Attempts attempts = new Attempts(group, request, recordedKey(request));
        StatementProgress progress =
                StatementProgress.empty().withUnknownResult(term, "no outcome is recorded");
        attempts.handle(new StatementStep.LookUp(progress));
        return attempts.outcome;
    }

    private Optional<IdempotencyKey> recordedKey(StatementRequest request) {
        if (request.policy().access() == Access.READ) {
            return Optional.empty();
        }
        return Optional.of(
                request.key()
                        .map(key -> IdempotencyKeyFactory.scope(request.service(), key))
                        .orElseGet(keys::generate));
    }

    /** The attempts of one statement; all methods run on the worker thread. */
    private final class Attempts {
        private final Group group;
        private final StatementRequest request;
        private final Optional<IdempotencyKey> key;
        private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        private StatementProgress progress = StatementProgress.empty();

        private Attempts(Group group, StatementRequest request, Optional<IdempotencyKey> key) {
            this.group = group;
            this.request = request;
            this.key = key;
        }

        private void handle(StatementStep step) {
            if (step instanceof StatementStep.Finish finish) {
                outcome.complete(finish.outcome());
            } else if (step instanceof StatementStep.Send send) {
                progress = send.progress();
                scheduleNext(this::send);
            } else if (step instanceof StatementStep.LookUp lookUp) {
                progress = lookUp.progress();
                scheduleNext(this::lookUp);
            } else if (step instanceof StatementStep.ConfirmQuorum confirmQuorum) {
                confirm(confirmQuorum.result());
            }
        }

        private void scheduleNext(Runnable work) {
            if (remainingTime().isZero()) {
                outcome.complete(StatementRetryPolicy.finalOutcome(progress));
            } else if (progress.attemptCount() == 0) {
                work.run();
            } else {
                clock.schedule(() -> workerThread.execute(work), retryDelay());
            }
        }

        private void send() {
            Optional<StatementTarget> target =
                    TargetSelector.select(
                            group.view(),
                            request,
                            progress.isPrimaryOnly(),
                            clock.nanoTime(),
                            id -> group.pool(id).outstandingCount(),
                            group::isDraining);
            if (target.isEmpty()) {
                handle(
                        new StatementStep.Send(
                                progress.withRefusal(ErrorCode.NO_INSTANCE, "no primary")));
                return;
            }
            acquire(target.get(), connection -> execute(target.get(), connection));
        }

        private void execute(StatementTarget target, BackendConnection connection) {
            BackendStatement statement =
                    new BackendStatement(
                            target.term(),
                            request.sql(),
                            request.parameters(),
                            request.policy().access() == Access.READ,
                            target.minLogPosition(),
                            key);
            long sentNanos = clock.nanoTime();
            await(
                    target,
                    connection,
                    connection.execute(statement, exchangeTimeout()),
                    result -> {
                        observe(result, sentNanos);
                        handle(
                                StatementRetryPolicy.afterBackendResult(
                                        request, progress, target, result));
                    });
        }

        private void lookUp() {
            Optional<ReplicationStatus> primary = group.view().primary();
            if (primary.isEmpty()) {
                handle(
                        new StatementStep.LookUp(
                                progress.withUnknownResult(
                                        highestSentTerm(), "no primary is known")));
                return;
            }
            ReplicationStatus status = primary.get();
            StatementTarget target =
                    new StatementTarget(
                            status.instance(), status.promisedTerm(), status.lastPosition(), false);
            acquire(target, connection -> lookUp(target, connection));
        }

        private void lookUp(StatementTarget target, BackendConnection connection) {
            await(
                    target,
                    connection,
                    connection.lookUpOutcome(target.term(), key.orElseThrow(), exchangeTimeout()),
                    result -> handleLookUpResult(target, result));
        }

        private void handleLookUpResult(StatementTarget target, BackendResult result) {
            group.quorumConfirmer()
                    .confirm(target.instance(), target.minLogPosition(), exchangeTimeout())
                    .thenAcceptAsync(
                            isTermConfirmed -> {
                                StatementProgress next =
                                        progress.withUnknownResult(
                                                highestSentTerm(), progress.detail());
                                handle(
                                        StatementRetryPolicy.afterLookUp(
                                                request,
                                                next,
                                                target.term(),
                                                result,
                                                isTermConfirmed));
                            },
                            workerThread);
        }

        private void confirm(BackendResult.Done result) {
            ReplicationStatus status = result.status();
            group.quorumConfirmer()
                    .confirm(status.instance(), status.lastPosition(), remainingTime())
                    .thenAcceptAsync(
                            isConfirmed ->
                                    handle(
                                            StatementRetryPolicy.afterQuorumConfirmation(
                                                    request, progress, result, isConfirmed)),
                            workerThread);
        }

        /** Waits for the result of an exchange until the primary that serves it is replaced. */
        private void await(
                StatementTarget target,
                BackendConnection connection,
                CompletionStage<BackendResult> exchange,
                Consumer<BackendResult> next) {
            CompletableFuture<BackendResult> firstResult = new CompletableFuture<>();
            Runnable unregister =
                    onPrimaryReplaced(target, () -> firstResult.complete(PRIMARY_REPLACED));
            exchange.thenAcceptAsync(firstResult::complete, workerThread);
            firstResult.thenAccept(
                    result -> {
                        unregister.run();
                        release(target, connection, result);
                        next.accept(result);
                    });
        }

        private void acquire(StatementTarget target, Consumer<BackendConnection> onAcquired) {
            InstancePool pool = group.pool(target.instance());
            CompletableFuture<AcquireResult> firstResult = new CompletableFuture<>();
            Runnable unregister =
                    onPrimaryReplaced(
                            target, () -> firstResult.complete(AcquireResult.unreachable()));
            pool.acquire(request.service(), remainingTime())
                    .thenAcceptAsync(
                            acquireResult -> {
                                if (!firstResult.complete(acquireResult)) {
                                    acquireResult
                                            .connection()
                                            .ifPresent(c -> pool.release(c, true));
                                }
                            },
                            workerThread);
            firstResult.thenAccept(
                    acquireResult -> {
                        unregister.run();
                        acquireResult
                                .connection()
                                .ifPresentOrElse(
                                        onAcquired, () -> handleUnavailable(target, acquireResult));
                    });
        }

        private Runnable onPrimaryReplaced(StatementTarget target, Runnable callback) {
            return target.isReplica() ? () -> {} : group.onPrimaryReplaced(callback);
        }

        private void handleUnavailable(StatementTarget target, AcquireResult acquireResult) {
            handle(
                    StatementRetryPolicy.afterConnectionUnavailable(
                            progress, target, acquireResult, key.isPresent()));
        }

        private void release(
                StatementTarget target, BackendConnection connection, BackendResult result) {
            boolean isClean = !(result instanceof BackendResult.NoResponse);
            group.pool(target.instance()).release(connection, isClean);
        }

        private void observe(BackendResult result, long sentNanos) {
            if (result instanceof BackendResult.Done done) {
                group.recordResponseStatus(done.status(), sentNanos);
            }
        }

        private Term highestSentTerm() {
            return progress.highestSentTerm().orElse(Term.ZERO);
        }

        private Duration remainingTime() {
            long nanos = request.deadlineNanos() - clock.nanoTime();
            return Duration.ofNanos(Math.max(nanos, 0));
        }

        private Duration exchangeTimeout() {
            Duration remainingTime = remainingTime();
            Duration share = request.policy().patience().dividedBy(EXCHANGES_PER_PATIENCE);
            Duration bounded =
                    share.compareTo(MIN_EXCHANGE_TIMEOUT) < 0 ? MIN_EXCHANGE_TIMEOUT : share;
            return bounded.compareTo(remainingTime) < 0 ? bounded : remainingTime.plusNanos(1);
        }

        private Duration retryDelay() {
            Duration retryDelay =
                    INITIAL_RETRY_DELAY.multipliedBy(
                            1L << Math.min(progress.attemptCount() - 1, 3));
            Duration bounded =
                    retryDelay.compareTo(MAX_RETRY_DELAY) < 0 ? retryDelay : MAX_RETRY_DELAY;
            return bounded.compareTo(remainingTime()) < 0 ? bounded : remainingTime();
        }
    }
}
