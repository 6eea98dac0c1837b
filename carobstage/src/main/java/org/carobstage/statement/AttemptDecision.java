package org.carobstage.statement;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.backend.Answer;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.Standing;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Term;
import org.carobstage.pool.Grant;

/**
 * Decides after each exchange whether a statement is done, did not run, or goes on. It is the place
 * that keeps "not run" honest and a statement from running twice.
 */
public final class AttemptDecision {
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private AttemptDecision() {}

    /**
     * Decides after an instance answered a statement, or did not.
     *
     * @param request the statement
     * @param progress what had become of it before
     * @param target where it was sent
     * @param answer the answer
     * @return the next step
     */
    public static Step afterAnswer(
            StatementRequest request, Progress progress, Target target, Answer answer) {
        if (answer instanceof Answer.Done done) {
            return target.replica() ? afterReplica(request, progress, done) : new Step.Prove(done);
        }
        if (answer instanceof Answer.Refused refused) {
            return afterRefusal(progress, target, refused);
        }
        return afterLoss(request, progress, target, (Answer.Lost) answer);
    }

    /**
     * Decides after no connection was had. An overloaded instance is not asked again: the caller
     * gets the answer at once.
     *
     * @param progress what had become of the statement before
     * @param target where it was to be sent
     * @param grant the refusal
     * @param hasKey true if the statement's outcome can be looked up
     * @return the next step
     */
    public static Step afterNoConnection(
            Progress progress, Target target, Grant grant, boolean hasKey) {
        String detail = target.instance() + ": " + grant.status();
        boolean isReached = grant.status() == Grant.Status.OVERLOADED;
        ErrorCode code = isReached ? ErrorCode.OVERLOADED : ErrorCode.NO_INSTANCE;
        Progress next = progress.refused(code, detail);
        if (progress.sentAt().isPresent()) {
            return hasKey ? new Step.LookUp(next) : new Step.Send(next);
        }
        if (isReached) {
            Duration retryAfter = grant.retryAfter();
            return new Step.Finish(new Outcome.NotRun(code, detail, Optional.of(retryAfter)));
        }
        return new Step.Send(target.replica() ? next.atPrimary() : next);
    }

    /**
     * Decides after the attempt to prove an answer of the primary.
     *
     * @param request the statement
     * @param progress what had become of it before
     * @param done the answer
     * @param proved true if a majority holds it
     * @return the next step
     */
    public static Step afterProof(
            StatementRequest request, Progress progress, Answer.Done done, boolean proved) {
        if (proved) {
            return new Step.Finish(Outcome.Done.of(done, false));
        }
        String detail = "no majority confirmed the answer of " + done.standing().instance();
        Progress next = progress.mayHaveRun(done.standing().promised(), detail);
        return request.policy().access() == Access.READ
                ? new Step.Send(next)
                : new Step.LookUp(next);
    }

    /**
     * Decides after a primary was asked for the statement's key.
     *
     * @param request the statement
     * @param progress what had become of it before
     * @param term the term of the primary that was asked
     * @param answer its answer
     * @param stands true if a majority stood at that term after the answer
     * @return the next step
     */
    public static Step afterLookUp(
            StatementRequest request, Progress progress, Term term, Answer answer, boolean stands) {
        if (answer instanceof Answer.Done done) {
            return new Step.Prove(done);
        }
        boolean isUnknown =
                answer instanceof Answer.Refused refused && refused.reason() == Refusal.KEY_UNKNOWN;
        if (!isUnknown || !stands) {
            return new Step.LookUp(progress);
        }
        boolean isReplaced = progress.sentAt().filter(sent -> !term.isAfter(sent)).isEmpty();
        Progress known = isReplaced ? progress.provedNotRun() : progress;
        if (maySendAgain(request)) {
            return new Step.Send(known);
        }
        return isReplaced
                ? new Step.Finish(notRun(ErrorCode.NO_INSTANCE, "primary was replaced first"))
                : new Step.LookUp(known);
    }

    /**
     * Decides what to tell the caller when nothing more can be tried.
     *
     * @param progress what has become of the statement
     * @return the outcome
     */
    public static Outcome giveUp(Progress progress) {
        return progress.sentAt().isPresent()
                ? new Outcome.Unknown(progress.detail())
                : notRun(progress.refusal(), progress.detail());
    }

    private static Step afterReplica(
            StatementRequest request, Progress progress, Answer.Done done) {
        Standing standing = done.standing();
        long lag = standing.lagMillis();
        boolean isFresh = lag >= 0 && lag <= request.policy().staleness().toMillis();
        if (isFresh && standing.isSettled()) {
            return new Step.Finish(Outcome.Done.of(done, true));
        }
        String detail = "replica " + standing.instance() + " is too far behind";
        return new Step.Send(progress.refused(ErrorCode.NO_INSTANCE, detail).atPrimary());
    }

    private static Step afterRefusal(Progress progress, Target target, Answer.Refused refused) {
        return switch (refused.reason()) {
            case STATEMENT -> finishRefused(progress, ErrorCode.STATEMENT_REFUSED, refused);
            case KEY_REUSED -> finishRefused(progress, ErrorCode.KEY_REUSED, refused);
            case LIMIT -> finishRefused(progress, ErrorCode.OVERLOADED, refused);
            default -> {
                Progress next = progress.refused(ErrorCode.NO_INSTANCE, refused.detail());
                yield new Step.Send(target.replica() ? next.atPrimary() : next);
            }
        };
    }

    private static Step finishRefused(Progress progress, ErrorCode code, Answer.Refused refused) {
        Progress last = progress.refused(code, refused.detail());
        return new Step.Finish(giveUp(last));
    }

    private static Step afterLoss(
            StatementRequest request, Progress progress, Target target, Answer.Lost lost) {
        Progress next =
                lost.sent()
                        ? progress.mayHaveRun(target.term(), lost.detail())
                        : progress.refused(ErrorCode.NO_INSTANCE, lost.detail());
        if (lost.sent() && request.policy().access() == Access.WRITE) {
            return new Step.LookUp(next);
        }
        return new Step.Send(target.replica() ? next.atPrimary() : next);
    }

    private static boolean maySendAgain(StatementRequest request) {
        boolean isSafe = request.key().isPresent() || request.policy().idempotent();
        return isSafe && !request.isLookUp();
    }

    private static Outcome notRun(ErrorCode code, String detail) {
        boolean helps = code == ErrorCode.NO_INSTANCE || code == ErrorCode.OVERLOADED;
        return new Outcome.NotRun(
                code, detail, helps ? Optional.of(RETRY_AFTER) : Optional.empty());
    }
}
