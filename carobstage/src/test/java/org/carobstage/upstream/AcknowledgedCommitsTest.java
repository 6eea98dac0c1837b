package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.LogPosition;
import org.carobstage.runtime.ManualClock;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class AcknowledgedCommitsTest {
    private static final LogPosition LOG_END = LogPosition.of(1, 9);

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final List<LogPosition> acknowledged = new ArrayList<>();
    private final AcknowledgedCommits commits =
            AcknowledgedCommits.of(clock, (position, now) -> acknowledged.add(position));
    private final TrackedCommit commit = track();

    @Test
    void shouldAwaitCommitUntilItsResultArrives() {
        assertThat(commits.isIncomplete()).isTrue();

        commit.complete(Optional.of(success(Optional.of(LOG_END))));

        assertThat(commits.isIncomplete()).isFalse();
        assertThat(commits.newest()).isEqualTo(LOG_END);
    }

    // Guards against a vote whose position does not cover the commit without a result.
    @Test
    void shouldCoverLostCommitWhenPrimaryHasReportedSince() {
        commit.complete(Optional.empty());
        assertThat(commits.isIncomplete()).isTrue();

        clock.advance(Duration.ofMillis(1));
        commits.onPrimaryReported(LOG_END, ClockReading.now(clock));

        assertThat(commits.isIncomplete()).isFalse();
        assertThat(commits.newest()).isEqualTo(LOG_END);
    }

    // Guards against a report that the primary may have made before it appended the commit.
    @Test
    void shouldNotCoverLostCommitWhenReportWasRequestedBefore() {
        ClockReading requestedAt = ClockReading.now(clock);
        clock.advance(Duration.ofMillis(1));
        commit.abandon();
        commits.onPrimaryReported(LOG_END, requestedAt);
        commits.onPrimaryReported(LOG_END, ClockReading.now(clock));

        assertThat(commits.isIncomplete()).isTrue();
        assertThat(commits.newest()).isEqualTo(LogPosition.empty());
    }

    // Guards against a report that is taken for one on a commit which was lost after it.
    @Test
    void shouldNotCoverCommitWhenItWasLostAfterOther() {
        TrackedCommit later = track();
        commit.abandon();
        clock.advance(Duration.ofMillis(1));
        ClockReading requestedAt = ClockReading.now(clock);
        clock.advance(Duration.ofMillis(1));
        later.complete(Optional.empty());
        commits.onPrimaryReported(LOG_END, requestedAt);

        assertThat(commits.isIncomplete()).isTrue();
    }

    // Guards against a position that becomes unknown again when the connection is closed.
    @Test
    void shouldStayCompleteWhenConnectionOfAbandonedCommitIsClosed() {
        commit.abandon();
        clock.advance(Duration.ofMillis(1));
        commits.onPrimaryReported(LOG_END, ClockReading.now(clock));
        commit.complete(Optional.empty());

        assertThat(commits.isIncomplete()).isFalse();
    }

    // Guards against a position that is raised by commits of others, which nobody must keep.
    @Test
    void shouldIgnoreReportOfPrimaryWhenNoCommitIsLost() {
        commit.complete(Optional.of(success(Optional.of(LogPosition.of(1, 3)))));
        clock.advance(Duration.ofMillis(1));
        commits.onPrimaryReported(LOG_END, ClockReading.now(clock));

        assertThat(commits.newest()).isEqualTo(LogPosition.of(1, 3));
    }

    // Guards against a rejection of reads below what only the primary holds.
    @Test
    void shouldReportOnlyPositionsThatArriveWithResults() {
        commit.complete(Optional.of(success(Optional.of(LogPosition.of(1, 3)))));
        track().complete(Optional.empty());
        clock.advance(Duration.ofMillis(1));
        commits.onPrimaryReported(LOG_END, ClockReading.now(clock));

        assertThat(commits.newest()).isEqualTo(LOG_END);
        assertThat(acknowledged).containsExactly(LogPosition.of(1, 3));
    }

    // Guards against a success whose position is taken for the lowest one.
    @Test
    void shouldNotKnowPositionWhenSuccessReportsNone() {
        commit.complete(Optional.of(success(Optional.empty())));

        assertThat(commits.isIncomplete()).isTrue();
    }

    @ParameterizedTest
    @EnumSource(
            names = {
                "BUSY",
                "ROLLED_BACK",
                "REPLICA_BEHIND",
                "NOT_PRIMARY",
                "WRONG_INSTANCE",
                "CONNECTION_LIMIT",
                "NOT_PREPARED"
            })
    void shouldBeCompleteWhenInstancePromisesThatNothingWasDone(FailureCode code) {
        commit.complete(Optional.of(failure(code)));

        assertThat(commits.isIncomplete()).isFalse();
        assertThat(commits.newest()).isEqualTo(LogPosition.empty());
    }

    // Guards against a failure that is taken as proof although the statement was executed.
    @ParameterizedTest
    @EnumSource(names = {"FAILED", "TIMED_OUT", "OUTCOME_UNKNOWN", "OTHER"})
    void shouldNotKnowPositionWhenFailedCommitMayHaveBeenExecuted(FailureCode code) {
        commit.complete(Optional.of(failure(code)));

        assertThat(commits.isIncomplete()).isTrue();
    }

    private TrackedCommit track() {
        return TrackedCommit.of(
                clock, CommitCircuitBreaker.closed().trackCommit(clock.nanoTime()), commits);
    }

    private static StatementResult success(Optional<LogPosition> position) {
        return new StatementResult(
                List.of(), "signed", Optional.empty(), TransactionState.IDLE, position);
    }

    private static StatementResult failure(FailureCode code) {
        return StatementResult.failed(Failure.of(code, "a"), TransactionState.IDLE);
    }
}
