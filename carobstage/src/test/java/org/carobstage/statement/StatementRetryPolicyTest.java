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
    private static final Term TWO = Term.of(2);
    private static final InstanceId A = InstanceId.of("a");
    private static final StatementTarget PRIMARY =
            new StatementTarget(A, TWO, LogPosition.empty(), false);
    private static final StatementTarget REPLICA =
            new StatementTarget(A, TWO, LogPosition.empty(), true);
    private static final BackendResult KEY_UNKNOWN =
            new BackendResult.Refused(Refusal.KEY_UNKNOWN, "");
    private static final StatementRequest ONCE = request(Access.WRITE, false, false);
    private static final StatementRequest KEYED = request(Access.WRITE, false, true);
    private static final StatementRequest READ = request(Access.READ, true, false);

    @Nested
    class AfterAnswer {
        @Test
        void shouldLookUpWhenWriteWasSentAndLost() {
            StatementStep step = afterAnswer(ONCE, PRIMARY, new BackendResult.NoResponse(true, ""));

            assertThat(((StatementStep.LookUp) step).progress().highestSentTerm()).contains(TWO);
        }

        @Test
        void shouldSendAgainWhenNothingLeft() {
            StatementStep step =
                    afterAnswer(ONCE, PRIMARY, new BackendResult.NoResponse(false, ""));

            assertThat(((StatementStep.Send) step).progress().highestSentTerm()).isEmpty();
        }

        @Test
        void shouldGoToPrimaryWhenReplicaIsStalerThanAllowed() {
            StatementStep step = afterAnswer(READ, REPLICA, done(1_001));

            assertThat(((StatementStep.Send) step).progress().isPrimaryOnly()).isTrue();
        }

        @Test
        void shouldFinishWhenReplicaIsFresh() {
            assertThat(afterAnswer(READ, REPLICA, done(1_000)))
                    .isInstanceOf(StatementStep.Finish.class);
        }

        @Test
        void shouldBeUnknownWhenRefusedAfterALostTry() {
            StatementProgress lost = StatementProgress.empty().withUnknownResult(TWO, "");
            BackendResult refused = new BackendResult.Refused(Refusal.STATEMENT, "duplicate");

            StatementStep step =
                    StatementRetryPolicy.afterBackendResult(ONCE, lost, PRIMARY, refused);

            assertThat(((StatementStep.Finish) step).outcome()).isInstanceOf(Outcome.Unknown.class);
        }
    }

    @Nested
    class AfterLookUp {
        private final StatementProgress lost = StatementProgress.empty().withUnknownResult(TWO, "");

        @Test
        void shouldKeepAskingWhenTheSamePrimaryMayStillRunIt() {
            StatementStep step =
                    StatementRetryPolicy.afterLookUp(ONCE, lost, TWO, KEY_UNKNOWN, true);

            assertThat(((StatementStep.LookUp) step).progress().highestSentTerm()).contains(TWO);
        }

        @Test
        void shouldNotRunWhenAHigherTermStandsWithoutIt() {
            StatementStep step =
                    StatementRetryPolicy.afterLookUp(ONCE, lost, TWO.next(), KEY_UNKNOWN, true);

            Outcome outcome = ((StatementStep.Finish) step).outcome();
            assertThat(((Outcome.NotRun) outcome).code()).isEqualTo(ErrorCode.NO_INSTANCE);
        }

        @Test
        void shouldKeepAskingWhenTheHigherTermIsNotProved() {
            StatementStep step =
                    StatementRetryPolicy.afterLookUp(ONCE, lost, TWO.next(), KEY_UNKNOWN, false);

            assertThat(step).isInstanceOf(StatementStep.LookUp.class);
        }

        @Test
        void shouldSendAgainUnderItsKeyWhenTheCallerGaveOne() {
            StatementStep step =
                    StatementRetryPolicy.afterLookUp(KEYED, lost, TWO, KEY_UNKNOWN, true);

            assertThat(((StatementStep.Send) step).progress().highestSentTerm()).contains(TWO);
        }
    }

    @Nested
    class GiveUp {
        @Test
        void shouldBeNotRunOnlyWhenNothingWasSent() {
            StatementProgress refused =
                    StatementProgress.empty().withRefusal(ErrorCode.OVERLOADED, "");

            assertThat(StatementRetryPolicy.finalOutcome(refused))
                    .isInstanceOf(Outcome.NotRun.class);
            assertThat(StatementRetryPolicy.finalOutcome(refused.withUnknownResult(TWO, "")))
                    .isInstanceOf(Outcome.Unknown.class);
        }
    }

    private static StatementStep afterAnswer(
            StatementRequest request, StatementTarget target, BackendResult answer) {
        return StatementRetryPolicy.afterBackendResult(
                request, StatementProgress.empty(), target, answer);
    }

    private static BackendResult.Done done(long lagMillis) {
        ReplicationStatus standing =
                new ReplicationStatus(A, TWO, false, LogPosition.of(2, 5), lagMillis);
        return new BackendResult.Done(List.of(), List.of(), 0, false, standing);
    }

    private static StatementRequest request(Access access, boolean idempotent, boolean keyed) {
        Duration staleness = access == Access.READ ? Duration.ofSeconds(1) : Duration.ZERO;
        Duration patience = Duration.ofSeconds(3);
        return new StatementRequest(
                ServiceName.of("service"),
                GroupId.of("g"),
                "SQL",
                List.of(),
                new RequestPolicy(access, staleness, idempotent, patience),
                Optional.empty(),
                keyed ? Optional.of(IdempotencyKey.of("k")) : Optional.empty(),
                0);
    }
}
