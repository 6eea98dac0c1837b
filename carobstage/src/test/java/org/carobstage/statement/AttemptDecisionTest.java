package org.carobstage.statement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carobstage.backend.Answer;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.Standing;
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

class AttemptDecisionTest {
    private static final Term TWO = Term.of(2);
    private static final InstanceId A = InstanceId.of("a");
    private static final Target PRIMARY = new Target(A, TWO, LogPosition.empty(), false);
    private static final Target REPLICA = new Target(A, TWO, LogPosition.empty(), true);
    private static final Answer KEY_UNKNOWN = new Answer.Refused(Refusal.KEY_UNKNOWN, "");
    private static final StatementRequest ONCE = request(Access.WRITE, false, false);
    private static final StatementRequest KEYED = request(Access.WRITE, false, true);
    private static final StatementRequest READ = request(Access.READ, true, false);

    @Nested
    class AfterAnswer {
        @Test
        void shouldLookUpWhenWriteWasSentAndLost() {
            Step step = afterAnswer(ONCE, PRIMARY, new Answer.Lost(true, ""));

            assertThat(((Step.LookUp) step).progress().sentAt()).contains(TWO);
        }

        @Test
        void shouldSendAgainWhenNothingLeft() {
            Step step = afterAnswer(ONCE, PRIMARY, new Answer.Lost(false, ""));

            assertThat(((Step.Send) step).progress().sentAt()).isEmpty();
        }

        @Test
        void shouldGoToPrimaryWhenReplicaIsStalerThanAllowed() {
            Step step = afterAnswer(READ, REPLICA, done(1_001));

            assertThat(((Step.Send) step).progress().primaryOnly()).isTrue();
        }

        @Test
        void shouldFinishWhenReplicaIsFresh() {
            assertThat(afterAnswer(READ, REPLICA, done(1_000))).isInstanceOf(Step.Finish.class);
        }

        @Test
        void shouldBeUnknownWhenRefusedAfterALostTry() {
            Progress lost = Progress.empty().mayHaveRun(TWO, "");
            Answer refused = new Answer.Refused(Refusal.STATEMENT, "duplicate");

            Step step = AttemptDecision.afterAnswer(ONCE, lost, PRIMARY, refused);

            assertThat(((Step.Finish) step).outcome()).isInstanceOf(Outcome.Unknown.class);
        }
    }

    @Nested
    class AfterLookUp {
        private final Progress lost = Progress.empty().mayHaveRun(TWO, "");

        @Test
        void shouldKeepAskingWhenTheSamePrimaryMayStillRunIt() {
            Step step = AttemptDecision.afterLookUp(ONCE, lost, TWO, KEY_UNKNOWN, true);

            assertThat(((Step.LookUp) step).progress().sentAt()).contains(TWO);
        }

        @Test
        void shouldNotRunWhenAHigherTermStandsWithoutIt() {
            Step step = AttemptDecision.afterLookUp(ONCE, lost, TWO.next(), KEY_UNKNOWN, true);

            Outcome outcome = ((Step.Finish) step).outcome();
            assertThat(((Outcome.NotRun) outcome).code()).isEqualTo(ErrorCode.NO_INSTANCE);
        }

        @Test
        void shouldKeepAskingWhenTheHigherTermIsNotProved() {
            Step step = AttemptDecision.afterLookUp(ONCE, lost, TWO.next(), KEY_UNKNOWN, false);

            assertThat(step).isInstanceOf(Step.LookUp.class);
        }

        @Test
        void shouldSendAgainUnderItsKeyWhenTheCallerGaveOne() {
            Step step = AttemptDecision.afterLookUp(KEYED, lost, TWO, KEY_UNKNOWN, true);

            assertThat(((Step.Send) step).progress().sentAt()).contains(TWO);
        }
    }

    @Nested
    class GiveUp {
        @Test
        void shouldBeNotRunOnlyWhenNothingWasSent() {
            Progress refused = Progress.empty().refused(ErrorCode.OVERLOADED, "");

            assertThat(AttemptDecision.giveUp(refused)).isInstanceOf(Outcome.NotRun.class);
            assertThat(AttemptDecision.giveUp(refused.mayHaveRun(TWO, "")))
                    .isInstanceOf(Outcome.Unknown.class);
        }
    }

    private static Step afterAnswer(StatementRequest request, Target target, Answer answer) {
        return AttemptDecision.afterAnswer(request, Progress.empty(), target, answer);
    }

    private static Answer.Done done(long lagMillis) {
        Standing standing = new Standing(A, TWO, false, LogPosition.of(2, 5), lagMillis);
        return new Answer.Done(List.of(), List.of(), 0, false, standing);
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
