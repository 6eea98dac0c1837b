package org.carobstage.statement;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Term;
import org.carobstage.pool.AcquireResult;

/**
 * Decides after each exchange whether a statement is done, did not run, or goes on. It is the place
 * that keeps "not run" honest and a statement from running twice.
 */
public final class StatementRetryPolicy {
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private StatementRetryPolicy() {}

    /**
     * Decides after an instance answered a statement, or did not.
     *
     * @param request the statement
     * @param progress what had become of it before
     * @param target where it was sent
     * @param answer the answer
     * @return the next step
     */
    public static StatementStep afterBackendResult(
            StatementRequest request,
            StatementProgress progress,
            StatementTarget target,
            BackendResult answer) {
        if (answer instanceof BackendResult.Done done) {
            return target.isReplica()
                    ? afterReplica(request, progress, done)
                    : new StatementStep.ConfirmQuorum(done);
        }
        if (answer instanceof BackendResult.Refused refused) {
            return afterRefusal(progress, target, refused);
        }
        return afterLoss(request, progress, target, (BackendResult.NoResponse) answer);
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
    public static StatementStep afterConnectionUnavailable(
            StatementProgress progress,
            StatementTarget target,
            AcquireResult grant,
            boolean hasKey) {
        String detail = target.instance() + ": " + grant.status();
        boolean isReached = grant.status() == AcquireResult.Status.OVERLOADED;
        ErrorCode code = isReached ? ErrorCode.OVERLOADED : ErrorCode.NO_INSTANCE;
        StatementProgress next = progress.withRefusal(code, detail);
        if (progress.highestSentTerm().isPresent()) {
            return hasKey ? new StatementStep.LookUp(next) : new StatementStep.Send(next);
        }
        if (isReached) {
            Duration retryAfter = grant.retryAfter();
            return new StatementStep.Finish(
                    new Outcome.NotRun(code, detail, Optional.of(retryAfter)));
        }
        return new StatementStep.Send(target.isReplica() ? next.withPrimaryOnly() : next);
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
    public static StatementStep afterQuorumConfirmation(
            StatementRequest request,
            StatementProgress progress,
            BackendResult.Done done,
            boolean proved) {
        if (proved) {
            return new StatementStep.Finish(Outcome.Done.of(done, false));
        }
        String detail = "no majority confirmed the answer of " + done.status().instance();
        StatementProgress next = progress.withUnknownResult(done.status().promisedTerm(), detail);
        return request.policy().access() == Access.READ
                ? new StatementStep.Send(next)
                : new StatementStep.LookUp(next);
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
    public static StatementStep afterLookUp(
            StatementRequest request,
            StatementProgress progress,
            Term term,
            BackendResult answer,
            boolean stands) {
        if (answer instanceof BackendResult.Done done) {
            return new StatementStep.ConfirmQuorum(done);
        }
        boolean isUnknown =
                answer instanceof BackendResult.Refused refused
                        && refused.reason() == Refusal.KEY_UNKNOWN;
        if (!isUnknown || !stands) {
            return new StatementStep.LookUp(progress);
        }
        boolean isReplaced =
                progress.highestSentTerm().filter(sent -> !term.isAfter(sent)).isEmpty();
        StatementProgress known = isReplaced ? progress.withProvenNotRun() : progress;
        if (maySendAgain(request)) {
            return new StatementStep.Send(known);
        }
        return isReplaced
                ? new StatementStep.Finish(
                        notRun(ErrorCode.NO_INSTANCE, "primary was replaced first"))
                : new StatementStep.LookUp(known);
    }

    /**
     * Decides what to tell the caller when nothing more can be tried.
     *
     * @param progress what has become of the statement
     * @return the outcome
     */
    public static Outcome finalOutcome(StatementProgress progress) {
        return progress.highestSentTerm().isPresent()
                ? new Outcome.Unknown(progress.detail())
                : notRun(progress.lastErrorCode(), progress.detail());
    }

    private static StatementStep afterReplica(
            StatementRequest request, StatementProgress progress, BackendResult.Done done) {
        ReplicationStatus standing = done.status();
        long lag = standing.lagMillis();
        boolean isFresh = lag >= 0 && lag <= request.policy().maxStaleness().toMillis();
        if (isFresh && standing.isLogAtPromisedTerm()) {
            return new StatementStep.Finish(Outcome.Done.of(done, true));
        }
        String detail = "replica " + standing.instance() + " is too far behind";
        return new StatementStep.Send(
                progress.withRefusal(ErrorCode.NO_INSTANCE, detail).withPrimaryOnly());
    }

    private static StatementStep afterRefusal(
            StatementProgress progress, StatementTarget target, BackendResult.Refused refused) {
        return switch (refused.reason()) {
            case STATEMENT -> finishRefused(progress, ErrorCode.STATEMENT_REFUSED, refused);
            case KEY_REUSED -> finishRefused(progress, ErrorCode.KEY_REUSED, refused);
            case LIMIT -> finishRefused(progress, ErrorCode.OVERLOADED, refused);
            default -> {
                StatementProgress next =
                        progress.withRefusal(ErrorCode.NO_INSTANCE, refused.detail());
                yield new StatementStep.Send(target.isReplica() ? next.withPrimaryOnly() : next);
            }
        };
    }

    private static StatementStep finishRefused(
            StatementProgress progress, ErrorCode code, BackendResult.Refused refused) {
        StatementProgress last = progress.withRefusal(code, refused.detail());
        return new StatementStep.Finish(finalOutcome(last));
    }

    private static StatementStep afterLoss(
            StatementRequest request,
            StatementProgress progress,
            StatementTarget target,
            BackendResult.NoResponse lost) {
        StatementProgress next =
                lost.mayHaveBeenSent()
                        ? progress.withUnknownResult(target.term(), lost.detail())
                        : progress.withRefusal(ErrorCode.NO_INSTANCE, lost.detail());
        if (lost.mayHaveBeenSent() && request.policy().access() == Access.WRITE) {
            return new StatementStep.LookUp(next);
        }
        return new StatementStep.Send(target.isReplica() ? next.withPrimaryOnly() : next);
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
