package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.carobstage.backend.Answer;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.Standing;
import org.carobstage.backend.Statement;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.error.ErrorCode;
import org.carobstage.group.Group;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.Term;
import org.carobstage.pool.Grant;
import org.carobstage.pool.InstancePool;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.Clock;

/** Runs statements, each over as many tries as its patience and the rules allow. */
public final class StatementRunner {
    private static final Duration FIRST_DELAY = Duration.ofMillis(5);
    private static final Duration MAX_DELAY = Duration.ofMillis(40);
    private static final Duration MIN_EXCHANGE = Duration.ofMillis(100);
    private static final int EXCHANGES_PER_PATIENCE = 3;
    private static final Answer REPLACED = new Answer.Lost(true, "the primary was replaced");

    private final Clock clock;
    private final BoundedExecutor duty;
    private final KeyFactory keys;

    private StatementRunner(Clock clock, BoundedExecutor duty, KeyFactory keys) {
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
    public static StatementRunner of(Clock clock, BoundedExecutor duty, KeyFactory keys) {
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
        attempts.take(new Step.Send(Progress.empty()));
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
    public CompletionStage<Outcome> resolve(Group group, StatementRequest request, Term term) {
        Attempts attempts = new Attempts(group, request, recordedKey(request));
        Progress progress = Progress.empty().mayHaveRun(term, "no outcome is recorded");
        attempts.take(new Step.LookUp(progress));
        return attempts.outcome;
    }

    private Optional<IdempotencyKey> recordedKey(StatementRequest request) {
        if (request.policy().access() == Access.READ) {
            return Optional.empty();
        }
        return Optional.of(
                request.key()
                        .map(key -> KeyFactory.scope(request.service(), key))
                        .orElseGet(keys::generate));
    }

    /** The tries of one statement; all methods run on the duty. */
    private final class Attempts {
        private final Group group;
        private final StatementRequest request;
        private final Optional<IdempotencyKey> key;
        private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        private Progress progress = Progress.empty();

        private Attempts(Group group, StatementRequest request, Optional<IdempotencyKey> key) {
            this.group = group;
            this.request = request;
            this.key = key;
        }

        private void take(Step step) {
            if (step instanceof Step.Finish finish) {
                outcome.complete(finish.outcome());
            } else if (step instanceof Step.Send send) {
                progress = send.progress();
                soon(this::send);
            } else if (step instanceof Step.LookUp lookUp) {
                progress = lookUp.progress();
                soon(this::lookUp);
            } else if (step instanceof Step.Prove prove) {
                prove(prove.done());
            }
        }

        private void soon(Runnable work) {
            if (left().isZero()) {
                outcome.complete(AttemptDecision.giveUp(progress));
            } else if (progress.tries() == 0) {
                work.run();
            } else {
                clock.schedule(() -> duty.execute(work), delay());
            }
        }

        private void send() {
            Optional<Target> target =
                    TargetChoice.choose(
                            group.view(),
                            request,
                            progress.primaryOnly(),
                            clock.nanoTime(),
                            id -> group.pool(id).load(),
                            group::isDrained);
            if (target.isEmpty()) {
                take(new Step.Send(progress.refused(ErrorCode.NO_INSTANCE, "no primary")));
                return;
            }
            acquire(target.get(), connection -> execute(target.get(), connection));
        }

        private void execute(Target target, BackendConnection connection) {
            Statement statement =
                    new Statement(
                            target.term(),
                            request.sql(),
                            request.parameters(),
                            request.policy().access() == Access.READ,
                            target.atLeast(),
                            key);
            long sent = clock.nanoTime();
            await(
                    target,
                    connection,
                    connection.execute(statement, exchangeTimeout()),
                    answer -> {
                        observe(answer, sent);
                        take(AttemptDecision.afterAnswer(request, progress, target, answer));
                    });
        }

        private void lookUp() {
            Optional<Standing> primary = group.view().primary();
            if (primary.isEmpty()) {
                take(new Step.LookUp(progress.mayHaveRun(sentAt(), "no primary is known")));
                return;
            }
            Standing standing = primary.get();
            Target target =
                    new Target(standing.instance(), standing.promised(), standing.last(), false);
            acquire(target, connection -> lookUp(target, connection));
        }

        private void lookUp(Target target, BackendConnection connection) {
            await(
                    target,
                    connection,
                    connection.lookup(target.term(), key.orElseThrow(), exchangeTimeout()),
                    answer -> lookedUp(target, answer));
        }

        private void lookedUp(Target target, Answer answer) {
            group.confirmation()
                    .confirm(target.instance(), target.atLeast(), exchangeTimeout())
                    .thenAcceptAsync(
                            stands -> {
                                Progress next = progress.mayHaveRun(sentAt(), progress.detail());
                                take(
                                        AttemptDecision.afterLookUp(
                                                request, next, target.term(), answer, stands));
                            },
                            duty);
        }

        private void prove(Answer.Done done) {
            Standing standing = done.standing();
            group.confirmation()
                    .confirm(standing.instance(), standing.last(), left())
                    .thenAcceptAsync(
                            proved ->
                                    take(
                                            AttemptDecision.afterProof(
                                                    request, progress, done, proved)),
                            duty);
        }

        /** Waits for an answer, but no longer than the primary that owes it stands. */
        private void await(
                Target target,
                BackendConnection connection,
                CompletionStage<Answer> exchange,
                Consumer<Answer> next) {
            CompletableFuture<Answer> first = new CompletableFuture<>();
            Runnable forget = unlessReplaced(target, () -> first.complete(REPLACED));
            exchange.thenAcceptAsync(first::complete, duty);
            first.thenAccept(
                    answer -> {
                        forget.run();
                        release(target, connection, answer);
                        next.accept(answer);
                    });
        }

        private void acquire(Target target, Consumer<BackendConnection> use) {
            InstancePool pool = group.pool(target.instance());
            CompletableFuture<Grant> first = new CompletableFuture<>();
            Runnable forget = unlessReplaced(target, () -> first.complete(Grant.unreachable()));
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

        private Runnable unlessReplaced(Target target, Runnable callback) {
            return target.replica() ? () -> {} : group.onReplaced(callback);
        }

        private void noConnection(Target target, Grant grant) {
            take(AttemptDecision.afterNoConnection(progress, target, grant, key.isPresent()));
        }

        private void release(Target target, BackendConnection connection, Answer answer) {
            boolean isClean = !(answer instanceof Answer.Lost);
            group.pool(target.instance()).release(connection, isClean);
        }

        private void observe(Answer answer, long sent) {
            if (answer instanceof Answer.Done done) {
                group.observe(done.standing(), sent);
            }
        }

        private Term sentAt() {
            return progress.sentAt().orElse(Term.ZERO);
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
            Duration delay = FIRST_DELAY.multipliedBy(1L << Math.min(progress.tries() - 1, 3));
            Duration bounded = delay.compareTo(MAX_DELAY) < 0 ? delay : MAX_DELAY;
            return bounded.compareTo(left()) < 0 ? bounded : left();
        }
    }
}
