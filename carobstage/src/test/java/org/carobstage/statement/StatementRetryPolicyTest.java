package org.carobstage.statement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.document.RequestPolicy;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.GroupId;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StatementRetryPolicyTest {
    private static final Term TERM = Term.of(2);
    private static final InstanceId A = InstanceId.of("a");
    private static final StatementTarget PRIMARY =
            new StatementTarget(A, TERM, LogPosition.empty(), false);
    private static final StatementTarget REPLICA =
            new StatementTarget(A, TERM, LogPosition.empty(), true);
    private static final BackendResult KEY_UNKNOWN =
            new BackendResult.Refused(Refusal.KEY_UNKNOWN, "");
    private static final StatementRequest WRITE = request(Access.WRITE, false, false);
    private static final StatementRequest KEYED_WRITE = request(Access.WRITE, false, true);
    private static final StatementRequest READ = request(Access.READ, true, false);

    @Nested
    class AfterBackendResult {
        @Test
        void shouldLookUpWhenResponseToWriteIsLost() {
            StatementStep step =
                    afterBackendResult(WRITE, PRIMARY, new BackendResult.NoResponse(true, ""));

            assertThat(((StatementStep.LookUp) step).progress().highestSentTerm()).contains(TERM);
        }

        @Test
        void shouldSendAgainWhenRequestWasNotSent() {
            StatementStep step =
                    afterBackendResult(WRITE, PRIMARY, new BackendResult.NoResponse(false, ""));

            assertThat(((StatementStep.Send) step).progress().highestSentTerm()).isEmpty();
        }

        @Test
        void shouldSendToPrimaryWhenReplicaIsStalerThanAllowed() {
            StatementStep step = afterBackendResult(READ, REPLICA, done(1_001));

            assertThat(((StatementStep.Send) step).progress().isPrimaryOnly()).isTrue();
        }

        @Test
        void shouldFinishWhenReplicaIsFresh() {
            assertThat(afterBackendResult(READ, REPLICA, done(1_000)))
                    .isInstanceOf(StatementStep.Finish.class);
        }

        @Test
        void shouldReportUnknownWhenRefusedAfterLostResponse() {
            StatementProgress unknown = StatementProgress.empty().withUnknownResult(TERM, "");
            BackendResult refused = new BackendResult.Refused(Refusal.STATEMENT, "duplicate");

            StatementStep step =
                    StatementRetryPolicy.afterBackendResult(WRITE, unknown, PRIMARY, refused);

            assertThat(((StatementStep.Finish) step).outcome()).isInstanceOf(Outcome.Unknown.class);
        }
    }

    @Nested
    class AfterLookUp {
        private final StatementProgress unknown =
                StatementProgress.empty().withUnknownResult(TERM, "");

        @Test
        void shouldLookUpAgainWhenSamePrimaryMayStillRunStatement() {
            StatementStep step =
                    StatementRetryPolicy.afterLookUp(WRITE, unknown, TERM, KEY_UNKNOWN, true);

            assertThat(((StatementStep.LookUp) step).progress().highestSentTerm()).contains(TERM);
        }

        @Test
        void shouldReportNotRunWhenPrimaryOfHigherTermHasNoOutcome() {
            StatementStep step =
                    StatementRetryPolicy.afterLookUp(
                            WRITE, unknown, TERM.next(), KEY_UNKNOWN, true);

            Outcome outcome = ((StatementStep.Finish) step).outcome();
            assertThat(((Outcome.NotRun) outcome).code()).isEqualTo(ErrorCode.NO_INSTANCE);
        }

        @Test
        void shouldLookUpAgainWhenHigherTermIsNotConfirmed() {
            StatementStep step =
                    StatementRetryPolicy.afterLookUp(
                            WRITE, unknown, TERM.next(), KEY_UNKNOWN, false);

            assertThat(step).isInstanceOf(StatementStep.LookUp.class);
        }

        @Test
        void shouldSendAgainWhenCallerGaveKey() {
            StatementStep step =
                    StatementRetryPolicy.afterLookUp(KEYED_WRITE, unknown, TERM, KEY_UNKNOWN, true);

            assertThat(((StatementStep.Send) step).progress().highestSentTerm()).contains(TERM);
        }
    }

    @Nested
    class FinalOutcome {
        @Test
        void shouldReportNotRunOnlyWhenNothingWasSent() {
            StatementProgress refused =
                    StatementProgress.empty().withRefusal(ErrorCode.OVERLOADED, "");

            assertThat(StatementRetryPolicy.finalOutcome(refused))
                    .isInstanceOf(Outcome.NotRun.class);
            assertThat(StatementRetryPolicy.finalOutcome(refused.withUnknownResult(TERM, "")))
                    .isInstanceOf(Outcome.Unknown.class);
        }
    }

    private static StatementStep afterBackendResult(
            StatementRequest request, StatementTarget target, BackendResult result) {
        return StatementRetryPolicy.afterBackendResult(
                request, StatementProgress.empty(), target, result);
    }

    private static BackendResult.Done done(long lagMillis) {
        ReplicationStatus status =
                new ReplicationStatus(A, TERM, false, LogPosition.of(2, 5), lagMillis);
        return new BackendResult.Done(List.of(), List.of(), 0, false, status);
    }

    private static StatementRequest request(Access access, boolean idempotent, boolean hasKey) {
        Duration staleness = access == Access.READ ? Duration.ofSeconds(1) : Duration.ZERO;
        Duration patience = Duration.ofSeconds(3);
        return new StatementRequest(
                ServiceName.of("service"),
                GroupId.of("g"),
                "SQL",
                List.of(),
                new RequestPolicy(access, staleness, idempotent, patience),
                Optional.empty(),
                hasKey ? Optional.of(IdempotencyKey.of("k")) : Optional.empty(),
                0);
    }
}
