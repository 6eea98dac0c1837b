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

/** Runs statements, each over as many tries as its patience and the rules allow. */
public final class StatementRunner {
    private static final Duration FIRST_DELAY = Duration.ofMillis(5);
    private static final Duration MAX_DELAY = Duration.ofMillis(40);
    private static final Duration MIN_EXCHANGE = Duration.ofMillis(100);
    private static final int EXCHANGES_PER_PATIENCE = 3;
    private static final BackendResult REPLACED =
            new BackendResult.NoResponse(true, "the primary was replaced");

    private final Clock clock;
    private final BoundedExecutor duty;
    private final IdempotencyKeyFactory keys;

    private StatementRunner(Clock clock, BoundedExecutor duty, IdempotencyKeyFactory keys) {
        this.clock = clock;
        this.duty = duty;
        this.keys = keys;
    }

    /**
     * Creates a runner.
     *
     * @param clock the runtime's clock
     * @param duty runs the steps one at a time
     * @param keys makes keys for writes that come without one
     * @return the runner
     */
    public static StatementRunner of(
            Clock clock, BoundedExecutor duty, IdempotencyKeyFactory keys) {
        requireNonNull(clock, "clock is null");
        requireNonNull(duty, "duty is null");
        requireNonNull(keys, "keys is null");
        return new StatementRunner(clock, duty, keys);
    }

    /**
     * Runs a statement; must be called on the duty.
     *
     * @param group the group
     * @param request the statement
     * @return the outcome; the stage never fails
     */
    public CompletionStage<Outcome> run(Group group, StatementRequest request) {
        Attempts attempts = new Attempts(group, request, recordedKey(request));
        attempts.take(new StatementStep.Send(StatementProgress.empty()));
        return attempts.outcome;
    }

    /**
     * Finds out what became of a write; must be called on the duty.
     *
     * @param group the group
     * @param request a look-up of the write's key
     * @param term the highest term under which the write may have been sent
     * @return done, not run or unknown; the stage never fails
     */
    public CompletionStage<Outcome> resolveOutcome(
            Group group, StatementRequest request, Term term) {
        Attempts attempts = new Attempts(group, request, recordedKey(request));
        StatementProgress progress =
                StatementProgress.empty().withUnknownResult(term, "no outcome is recorded");
        attempts.take(new StatementStep.LookUp(progress));
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

    /** The tries of one statement; all methods run on the duty. */
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

        private void take(StatementStep step) {
            if (step instanceof StatementStep.Finish finish) {
                outcome.complete(finish.outcome());
            } else if (step instanceof StatementStep.Send send) {
                progress = send.progress();
                soon(this::send);
            } else if (step instanceof StatementStep.LookUp lookUp) {
                progress = lookUp.progress();
                soon(this::lookUp);
            } else if (step instanceof StatementStep.ConfirmQuorum prove) {
                prove(prove.result());
            }
        }

        private void soon(Runnable work) {
            if (left().isZero()) {
                outcome.complete(StatementRetryPolicy.finalOutcome(progress));
            } else if (progress.attemptCount() == 0) {
                work.run();
            } else {
                clock.schedule(() -> duty.execute(work), delay());
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
                take(
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
            long sent = clock.nanoTime();
            await(
                    target,
                    connection,
                    connection.execute(statement, exchangeTimeout()),
                    answer -> {
                        observe(answer, sent);
                        take(
                                StatementRetryPolicy.afterBackendResult(
                                        request, progress, target, answer));
                    });
        }

        private void lookUp() {
            Optional<ReplicationStatus> primary = group.view().primary();
            if (primary.isEmpty()) {
                take(
                        new StatementStep.LookUp(
                                progress.withUnknownResult(sentAt(), "no primary is known")));
                return;
            }
            ReplicationStatus standing = primary.get();
            StatementTarget target =
                    new StatementTarget(
                            standing.instance(),
                            standing.promisedTerm(),
                            standing.lastPosition(),
                            false);
            acquire(target, connection -> lookUp(target, connection));
        }

        private void lookUp(StatementTarget target, BackendConnection connection) {
            await(
                    target,
                    connection,
                    connection.lookUpOutcome(target.term(), key.orElseThrow(), exchangeTimeout()),
                    answer -> lookedUp(target, answer));
        }

        private void lookedUp(StatementTarget target, BackendResult answer) {
            group.quorumConfirmer()
                    .confirm(target.instance(), target.minLogPosition(), exchangeTimeout())
                    .thenAcceptAsync(
                            stands -> {
                                StatementProgress next =
                                        progress.withUnknownResult(sentAt(), progress.detail());
                                take(
                                        StatementRetryPolicy.afterLookUp(
                                                request, next, target.term(), answer, stands));
                            },
                            duty);
        }

        private void prove(BackendResult.Done done) {
            ReplicationStatus standing = done.status();
            group.quorumConfirmer()
                    .confirm(standing.instance(), standing.lastPosition(), left())
                    .thenAcceptAsync(
                            proved ->
                                    take(
                                            StatementRetryPolicy.afterQuorumConfirmation(
                                                    request, progress, done, proved)),
                            duty);
        }

        /** Waits for an answer, but no longer than the primary that owes it stands. */
        private void await(
                StatementTarget target,
                BackendConnection connection,
                CompletionStage<BackendResult> exchange,
                Consumer<BackendResult> next) {
            CompletableFuture<BackendResult> first = new CompletableFuture<>();
            Runnable forget = unlessReplaced(target, () -> first.complete(REPLACED));
            exchange.thenAcceptAsync(first::complete, duty);
            first.thenAccept(
                    answer -> {
                        forget.run();
                        release(target, connection, answer);
                        next.accept(answer);
                    });
        }

        private void acquire(StatementTarget target, Consumer<BackendConnection> use) {
            InstancePool pool = group.pool(target.instance());
            CompletableFuture<AcquireResult> first = new CompletableFuture<>();
            Runnable forget =
                    unlessReplaced(target, () -> first.complete(AcquireResult.unreachable()));
            pool.acquire(request.service(), left())
                    .thenAcceptAsync(
                            grant -> {
                                if (!first.complete(grant)) {
                                    grant.connection().ifPresent(c -> pool.release(c, true));
                                }
                            },
                            duty);
            first.thenAccept(
                    grant -> {
                        forget.run();
                        grant.connection().ifPresentOrElse(use, () -> noConnection(target, grant));
                    });
        }

        private Runnable unlessReplaced(StatementTarget target, Runnable callback) {
            return target.isReplica() ? () -> {} : group.onPrimaryReplaced(callback);
        }

        private void noConnection(StatementTarget target, AcquireResult grant) {
            take(
                    StatementRetryPolicy.afterConnectionUnavailable(
                            progress, target, grant, key.isPresent()));
        }

        private void release(
                StatementTarget target, BackendConnection connection, BackendResult answer) {
            boolean isClean = !(answer instanceof BackendResult.NoResponse);
            group.pool(target.instance()).release(connection, isClean);
        }

        private void observe(BackendResult answer, long sent) {
            if (answer instanceof BackendResult.Done done) {
                group.observe(done.status(), sent);
            }
        }

        private Term sentAt() {
            return progress.highestSentTerm().orElse(Term.ZERO);
        }

        private Duration left() {
            long nanos = request.deadlineNanos() - clock.nanoTime();
            return Duration.ofNanos(Math.max(nanos, 0));
        }

        private Duration exchangeTimeout() {
            Duration left = left();
            Duration part = request.policy().patience().dividedBy(EXCHANGES_PER_PATIENCE);
            Duration bounded = part.compareTo(MIN_EXCHANGE) < 0 ? MIN_EXCHANGE : part;
            return bounded.compareTo(left) < 0 ? bounded : left.plusNanos(1);
        }

        private Duration delay() {
            Duration delay =
                    FIRST_DELAY.multipliedBy(1L << Math.min(progress.attemptCount() - 1, 3));
            Duration bounded = delay.compareTo(MAX_DELAY) < 0 ? delay : MAX_DELAY;
            return bounded.compareTo(left()) < 0 ? bounded : left();
        }
    }
}
