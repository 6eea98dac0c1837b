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
 * Decides after each request to an instance whether a statement is finished or which request comes
 * next. It ensures that a statement reported as not run never takes effect, and that no write takes
 * effect twice.
 */
public final class StatementRetryPolicy {
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private StatementRetryPolicy() {}

    /**
     * Decides after a statement was sent to an instance.
     *
     * @param request the statement
     * @param progress the progress so far
     * @param target where it was sent
     * @param result the result
     * @return the next step
     */
    public static StatementStep afterBackendResult(
            StatementRequest request,
            StatementProgress progress,
            StatementTarget target,
            BackendResult result) {
        if (result instanceof BackendResult.Done done) {
            return target.isReplica()
                    ? afterReplicaResult(request, progress, done)
                    : new StatementStep.ConfirmQuorum(done);
        }
        if (result instanceof BackendResult.Refused refused) {
            return afterRefusal(progress, target, refused);
        }
        return afterNoResponse(request, progress, target, (BackendResult.NoResponse) result);
    }

    /**
     * Decides after no connection was available. An overloaded instance is not retried: the caller
     * gets the outcome at once.
     *
     * @param progress the progress so far
     * @param target where it was to be sent
     * @param acquireResult the result without a connection
     * @param hasKey true if the statement's outcome can be looked up
     * @return the next step
     */
    public static StatementStep afterConnectionUnavailable(
            StatementProgress progress,
            StatementTarget target,
            AcquireResult acquireResult,
            boolean hasKey) {
        String detail = target.instance() + ": " + acquireResult.status();
        boolean isOverloaded = acquireResult.status() == AcquireResult.Status.OVERLOADED;
        ErrorCode code = isOverloaded ? ErrorCode.OVERLOADED : ErrorCode.NO_INSTANCE;
        StatementProgress next = progress.withRefusal(code, detail);
        if (progress.highestSentTerm().isPresent()) {
            return hasKey ? new StatementStep.LookUp(next) : new StatementStep.Send(next);
        }
        if (isOverloaded) {
            Duration retryAfter = acquireResult.retryAfter();
            return new StatementStep.Finish(
                    new Outcome.NotRun(code, detail, Optional.of(retryAfter)));
        }
        return new StatementStep.Send(target.isReplica() ? next.withPrimaryOnly() : next);
    }

    /**
     * Decides after the attempt to confirm a result of the primary.
     *
     * @param request the statement
     * @param progress the progress so far
     * @param result the result
     * @param isConfirmed true if a majority holds it
     * @return the next step
     */
    public static StatementStep afterQuorumConfirmation(
            StatementRequest request,
            StatementProgress progress,
            BackendResult.Done result,
            boolean isConfirmed) {
        if (isConfirmed) {
            return new StatementStep.Finish(Outcome.Done.of(result, false));
        }
        String detail = "no majority confirmed the result of " + result.status().instance();
        StatementProgress next = progress.withUnknownResult(result.status().promisedTerm(), detail);
        return request.policy().access() == Access.READ
                ? new StatementStep.Send(next)
                : new StatementStep.LookUp(next);
    }

    /**
     * Decides after the outcome of the statement's key was looked up at a primary.
     *
     * @param request the statement
     * @param progress the progress so far
     * @param term the term of that primary
     * @param result the result of the look-up
     * @param isTermConfirmed true if a majority was still at that term after the response
     * @return the next step
     */
    public static StatementStep afterLookUp(
            StatementRequest request,
            StatementProgress progress,
            Term term,
            BackendResult result,
            boolean isTermConfirmed) {
        if (result instanceof BackendResult.Done done) {
            return new StatementStep.ConfirmQuorum(done);
        }
        boolean isKeyUnknown =
                result instanceof BackendResult.Refused refused
                        && refused.reason() == Refusal.KEY_UNKNOWN;
        if (!isKeyUnknown || !isTermConfirmed) {
            return new StatementStep.LookUp(progress);
        }
        boolean isReplaced =
                progress.highestSentTerm().filter(sent -> !term.isAfter(sent)).isEmpty();
        StatementProgress next = isReplaced ? progress.withProvenNotRun() : progress;
        if (maySendAgain(request)) {
            return new StatementStep.Send(next);
        }
        return isReplaced
                ? new StatementStep.Finish(
                        notRun(
                                ErrorCode.NO_INSTANCE,
                                "the primary was replaced before the statement took effect"))
                : new StatementStep.LookUp(next);
    }

    /**
     * Returns the outcome to report when no attempt is left.
     *
     * @param progress the progress of the statement
     * @return unknown if an attempt may have run, otherwise not run
     */
    public static Outcome finalOutcome(StatementProgress progress) {
        return progress.highestSentTerm().isPresent()
                ? new Outcome.Unknown(progress.detail())
                : notRun(progress.lastErrorCode(), progress.detail());
    }

    private static StatementStep afterReplicaResult(
            StatementRequest request, StatementProgress progress, BackendResult.Done done) {
        ReplicationStatus status = done.status();
        long lagMillis = status.lagMillis();
        boolean isFresh = lagMillis >= 0 && lagMillis <= request.policy().maxStaleness().toMillis();
        if (isFresh && status.isLogAtPromisedTerm()) {
            return new StatementStep.Finish(Outcome.Done.of(done, true));
        }
        String detail = "replica " + status.instance() + " is too far behind";
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
        StatementProgress next = progress.withRefusal(code, refused.detail());
        return new StatementStep.Finish(finalOutcome(next));
    }

    private static StatementStep afterNoResponse(
            StatementRequest request,
            StatementProgress progress,
            StatementTarget target,
            BackendResult.NoResponse noResponse) {
        StatementProgress next =
                noResponse.mayHaveBeenSent()
                        ? progress.withUnknownResult(target.term(), noResponse.detail())
                        : progress.withRefusal(ErrorCode.NO_INSTANCE, noResponse.detail());
        if (noResponse.mayHaveBeenSent() && request.policy().access() == Access.WRITE) {
            return new StatementStep.LookUp(next);
        }
        return new StatementStep.Send(target.isReplica() ? next.withPrimaryOnly() : next);
    }

    private static boolean maySendAgain(StatementRequest request) {
        boolean isSafe = request.key().isPresent() || request.policy().idempotent();
        return isSafe && !request.isLookUp();
    }

    private static Outcome notRun(ErrorCode code, String detail) {
        boolean canRetry = code == ErrorCode.NO_INSTANCE || code == ErrorCode.OVERLOADED;
        return new Outcome.NotRun(
                code, detail, canRetry ? Optional.of(RETRY_AFTER) : Optional.empty());
    }
}
