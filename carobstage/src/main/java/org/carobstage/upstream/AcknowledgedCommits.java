package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.LogPosition;
import org.carobstage.runtime.Clock;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.StatementResult;

/**
 * The commits of this process that a failover must keep: the newest acknowledged one, those in
 * flight, at whichever primary, and those without a result. A commit is acknowledged once a replica
 * has received it, so without its result it is unknown whether a commit was acknowledged. If it
 * was, the primary's log contains it, and the end of the log that the primary reports later covers
 * it.
 */
final class AcknowledgedCommits {
    private final Clock clock;
    private final BiConsumer<LogPosition, ClockReading> listener;
    private final Set<TrackedCommit> inFlight = new HashSet<>();
    private LogPosition newest = LogPosition.empty();
    private LogPosition newestWithResult = LogPosition.empty();
    private Optional<ClockReading> unknownSince = Optional.empty();

    private AcknowledgedCommits(Clock clock, BiConsumer<LogPosition, ClockReading> listener) {
        this.clock = requireNonNull(clock, "clock is null");
        this.listener = requireNonNull(listener, "listener is null");
    }

    /**
     * Creates the commits of a process that has sent none.
     *
     * @param listener receives the position of each acknowledged commit and when it was known
     */
    static AcknowledgedCommits of(Clock clock, BiConsumer<LogPosition, ClockReading> listener) {
        return new AcknowledgedCommits(clock, listener);
    }

    /**
     * Returns the newest position that may have been acknowledged, the lowest one before the first
     * commit.
     */
    LogPosition newest() {
        return newest;
    }

    /** Returns the newest position of a commit with a result, which was certainly acknowledged. */
    LogPosition newestWithResult() {
        return newestWithResult;
    }

    /** Returns whether a commit that is not covered by the newest position may be acknowledged. */
    boolean isIncomplete() {
        return !inFlight.isEmpty() || isOutcomeUnknown();
    }

    /** Returns whether a commit has ended without a result, and the primary not reported since. */
    boolean isOutcomeUnknown() {
        return unknownSince.isPresent();
    }

    /** Records the position of an acknowledged commit. */
    void record(LogPosition position) {
        newest = newest.max(requireNonNull(position, "position is null"));
    }

    /** Records that a commit is sent. */
    void add(TrackedCommit commit) {
        inFlight.add(requireNonNull(commit, "commit is null"));
    }

    /**
     * Records the end of a commit, whether or not its sender still awaits the result; repeated
     * calls have no effect.
     */
    void complete(TrackedCommit commit, Optional<StatementResult> result) {
        boolean rejected =
                result.flatMap(StatementResult::failure)
                        .map(Failure::code)
                        .filter(AcknowledgedCommits::isRejection)
                        .isPresent();
        if (inFlight.remove(commit) && !rejected) {
            result.filter(StatementResult::isSuccessful)
                    .flatMap(StatementResult::logPosition)
                    .ifPresentOrElse(
                            this::onAcknowledged,
                            () -> unknownSince = Optional.of(ClockReading.now(clock)));
        }
    }

    /**
     * Records the end of the primary's log. A report of the same ns may precede the lost commit.
     *
     * @param logEnd the last position that the primary has appended
     * @param requestedAt when the report was requested
     */
    void onPrimaryReported(LogPosition logEnd, ClockReading requestedAt) {
        if (unknownSince.filter(since -> !since.isSince(requestedAt)).isPresent()) {
            record(logEnd);
            unknownSince = Optional.empty();
        }
    }

    private void onAcknowledged(LogPosition position) {
        newestWithResult = newestWithResult.max(position);
        record(position);
        listener.accept(position, ClockReading.now(clock));
    }

    private static boolean isRejection(FailureCode code) {
        return code.isNotExecuted() || code.isSafeToRetry();
    }
}
