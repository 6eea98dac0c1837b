package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.carobstage.backend.Answer;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.Standing;
import org.carobstage.backend.Statement;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.error.ErrorCode;
import org.carobstage.group.Group;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.pool.InstancePool;
import org.carobstage.read.ReplicaChoice;
import org.carobstage.runtime.Clock;
import org.carobstage.session.SessionPositions;

/** Runs one statement in a group; all steps run on the group's duty. */
public final class StatementRunner {
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private final Clock clock;
    private final Executor duty;

    private StatementRunner(Clock clock, Executor duty) {
        this.clock = clock;
        this.duty = duty;
    }

    /**
     * Creates a runner.
     *
     * @param clock the runtime's clock
     * @param duty runs the steps one at a time
     * @return the runner
     */
    public static StatementRunner of(Clock clock, Executor duty) {
        requireNonNull(clock, "clock is null");
        requireNonNull(duty, "duty is null");
        return new StatementRunner(clock, duty);
    }

    /**
     * Runs a statement.
     *
     * @param group the group
     * @param request the statement
     * @return the outcome; the stage never fails
     */
    public CompletionStage<Outcome> run(Group group, StatementRequest request) {
        Optional<Target> target = replica(group, request).or(() -> primary(group, request));
        if (target.isEmpty()) {
            return done(notRun(ErrorCode.NO_INSTANCE, "no primary is known"));
        }
        InstancePool pool = group.pool(target.get().instance());
        return pool.acquire(left(request))
                .thenComposeAsync(
                        connection ->
                                connection
                                        .map(c -> execute(group, request, target.get(), c))
                                        .orElseGet(() -> done(overloaded())),
                        duty);
    }

    private Optional<Target> replica(Group group, StatementRequest request) {
        boolean allowed =
                request.policy().access() == Access.READ
                        && !request.policy().staleness().isZero()
                        && request.session().isPresent();
        if (!allowed) {
            return Optional.empty();
        }
        LogPosition atLeast = request.session().get().of(request.group());
        Duration staleness = request.policy().staleness();
        Optional<InstanceId> instance =
                ReplicaChoice.choose(
                        group.view(),
                        atLeast,
                        staleness,
                        clock.nanoTime(),
                        id -> group.pool(id).load());
        Term term = group.view().primary().map(Standing::promised).orElse(Term.ZERO);
        return instance.map(id -> new Target(id, term, atLeast, true));
    }

    private Optional<Target> primary(Group group, StatementRequest request) {
        SessionPositions session = request.session().orElse(SessionPositions.empty());
        LogPosition atLeast = session.of(request.group());
        return group.view()
                .primary()
                .map(s -> new Target(s.instance(), s.promised(), atLeast, false));
    }

    private CompletionStage<Outcome> execute(
            Group group, StatementRequest request, Target target, BackendConnection connection) {
        Statement statement =
                new Statement(
                        target.term(),
                        request.sql(),
                        request.parameters(),
                        request.policy().access() == Access.READ,
                        target.atLeast(),
                        request.key());
        long sent = clock.nanoTime();
        return connection
                .execute(statement, left(request))
                .thenComposeAsync(
                        answer -> {
                            boolean clean = !(answer instanceof Answer.Lost);
                            group.pool(target.instance()).release(connection, clean);
                            return conclude(group, request, target, answer, sent);
                        },
                        duty);
    }

    private CompletionStage<Outcome> conclude(
            Group group, StatementRequest request, Target target, Answer answer, long sent) {
        if (answer instanceof Answer.Done d) {
            group.observe(d.standing(), sent);
            return target.replica() ? done(toDone(d, true)) : prove(group, request, d);
        }
        if (answer instanceof Answer.Refused refused) {
            ErrorCode code =
                    refused.reason() == Refusal.STATEMENT
                            ? ErrorCode.STATEMENT_REFUSED
                            : ErrorCode.NO_INSTANCE;
            return done(notRun(code, refused.detail()));
        }
        Answer.Lost lost = (Answer.Lost) answer;
        return done(
                lost.sent()
                        ? new Outcome.Unknown(lost.detail())
                        : notRun(ErrorCode.NO_INSTANCE, lost.detail()));
    }

    private CompletionStage<Outcome> prove(
            Group group, StatementRequest request, Answer.Done done) {
        Standing standing = done.standing();
        return group.confirmation()
                .confirm(standing.instance(), standing.last(), left(request))
                .thenApply(
                        proved ->
                                proved
                                        ? toDone(done, false)
                                        : new Outcome.Unknown("no majority confirmed in time"));
    }

    private Duration left(StatementRequest request) {
        long nanos = request.deadlineNanos() - clock.nanoTime();
        return Duration.ofNanos(Math.max(nanos, 1));
    }

    private static CompletionStage<Outcome> done(Outcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }

    private static Outcome toDone(Answer.Done done, boolean replica) {
        return new Outcome.Done(
                done.columns(),
                done.rows(),
                done.changed(),
                done.replayed(),
                done.standing().last(),
                done.standing().instance(),
                replica);
    }

    private static Outcome notRun(ErrorCode code, String detail) {
        return new Outcome.NotRun(code, detail, Optional.of(RETRY_AFTER));
    }

    private static Outcome overloaded() {
        return notRun(ErrorCode.OVERLOADED, "no slot became free within the patience");
    }

    private record Target(InstanceId instance, Term term, LogPosition atLeast, boolean replica) {}
}
