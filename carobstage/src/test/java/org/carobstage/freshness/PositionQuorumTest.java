package org.carobstage.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.junit.jupiter.api.Test;

class PositionQuorumTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");
    private static final InstanceId C = InstanceId.of("c");
    private static final InstanceId D = InstanceId.of("d");

    private final PositionQuorum quorum = groupOfThree();

    @Test
    void shouldNotTrustPrimaryAlone() {
        quorum.report(A, LogPosition.of(1, 81), at(10), true);

        assertThat(quorum.newest()).isEmpty();
    }

    @Test
    void shouldConfirmPositionAtTheEarlierRequest() {
        quorum.report(A, LogPosition.of(1, 81), at(10), true);
        quorum.report(B, LogPosition.of(1, 81), at(14), false);

        assertThat(quorum.newest()).contains(new ObservedPosition(LogPosition.of(1, 81), at(10)));
    }

    @Test
    void shouldReturnPositionOfNewerTermWhenFormerPrimaryStillReports() {
        catchUpAll();
        quorum.report(A, LogPosition.of(1, 99), at(20), true);
        quorum.report(B, LogPosition.of(2, 85), at(20), false);

        assertThat(quorum.newest().map(ObservedPosition::position)).contains(LogPosition.of(2, 85));
    }

    @Test
    void shouldConfirmNewestReceivedPositionWhenPrimaryIsLost() {
        catchUpAll();
        quorum.report(B, LogPosition.of(1, 90), at(40), false);
        quorum.report(C, LogPosition.of(1, 86), at(50), false);

        assertThat(quorum.newest()).contains(new ObservedPosition(LogPosition.of(1, 90), at(40)));
    }

    @Test
    void shouldNotCountReplicaBeforeItHasCaughtUp() {
        catchUpAll();
        quorum.add(C, at(20));
        quorum.report(A, LogPosition.of(1, 90), at(30), true);
        quorum.report(C, LogPosition.of(1, 5), at(40), false);
        assertThat(quorum.newest()).map(ObservedPosition::requestedAt).contains(at(10));

        quorum.report(C, LogPosition.of(1, 90), at(50), false);

        assertThat(quorum.newest()).map(ObservedPosition::requestedAt).contains(at(30));
    }

    @Test
    void shouldNeedBothInstancesWhenThirdOneIsGone() {
        catchUpAll();
        quorum.remove(C, at(15));
        quorum.report(A, LogPosition.of(1, 99), at(20), true);

        assertThat(quorum.sizeWithPrimary()).isEqualTo(2);
        assertThat(quorum.newest()).map(ObservedPosition::requestedAt).contains(at(10));
    }

    // A replica that receives nothing would confirm its own position while the entries of the
    // others have expired although they run.
    @Test
    void shouldNotConfirmPositionOfSingleReplicaWhenOthersWereRemovedRecently() {
        catchUpAll();
        quorum.remove(A, at(15));
        quorum.remove(C, at(15));
        quorum.report(B, LogPosition.of(1, 85), at(2_000), false);
        assertThat(quorum.newest()).isEmpty();

        quorum.report(B, LogPosition.of(1, 85), at(31_000), false);

        assertThat(quorum.newest()).map(ObservedPosition::requestedAt).contains(at(31_000));
    }

    // While an instance is replaced, a service has four. Without the primary's entry, two replicas
    // confirmed a position that lacked what the third one alone had received.
    @Test
    void shouldNotConfirmPositionOfTwoReplicasWhenThirdOneAndRemovedPrimaryDoNotReport() {
        catchUpFour();
        quorum.remove(A, at(20));
        quorum.report(B, LogPosition.of(1, 81), at(30), false);
        quorum.report(D, LogPosition.of(1, 81), at(30), false);
        assertThat(quorum.newest()).map(ObservedPosition::requestedAt).contains(at(10));

        quorum.report(C, LogPosition.of(1, 90), at(40), false);

        assertThat(quorum.newest()).contains(new ObservedPosition(LogPosition.of(1, 90), at(30)));
    }

    // A replica that has left may have taken the last commits of the primary with it.
    @Test
    void shouldNotConfirmPositionWithoutPrimaryWhenReplicaHasLeft() {
        catchUpFour();
        quorum.remove(C, at(20));
        quorum.report(B, LogPosition.of(1, 81), at(30), false);
        quorum.report(D, LogPosition.of(1, 81), at(30), false);

        assertThat(quorum.newest()).map(ObservedPosition::requestedAt).contains(at(10));
    }

    // A process that started later has never seen the entry of a replica that still receives.
    @Test
    void shouldNotConfirmPositionWithoutPrimaryWhenReplicaWasNeverSeen() {
        catchUpAll();
        quorum.setAbsent(Set.of(D), at(15));
        quorum.report(B, LogPosition.of(1, 81), at(20), false);
        quorum.report(C, LogPosition.of(1, 81), at(20), false);
        assertThat(quorum.newest()).map(ObservedPosition::requestedAt).contains(at(10));

        quorum.setAbsent(Set.of(), at(25));

        assertThat(quorum.newest()).map(ObservedPosition::requestedAt).contains(at(20));
    }

    // Reads stop after a promotion for as long as the instances that were lost count.
    @Test
    void shouldConfirmPositionOfNewPrimaryWhenTwoInstancesHaveLeft() {
        catchUpFour();
        quorum.remove(A, at(20));
        quorum.remove(C, at(20));
        quorum.report(B, LogPosition.of(2, 82), at(30), true);
        quorum.report(D, LogPosition.of(2, 82), at(30), false);

        assertThat(quorum.newest()).contains(new ObservedPosition(LogPosition.of(2, 82), at(30)));
    }

    // A former primary and its replica confirm what they have, although a later term is known.
    @Test
    void shouldNotConfirmPositionOfFormerPrimaryWhenLaterTermIsKnown() {
        catchUpFour();
        quorum.report(A, LogPosition.of(1, 81), at(20), true);
        quorum.add(C, at(21));
        quorum.report(C, LogPosition.of(2, 85), at(22), false);
        quorum.remove(D, at(25));
        quorum.report(B, LogPosition.of(1, 81), at(30), false);

        assertThat(quorum.newest()).isEmpty();
    }

    // The replica that has just lost its entry may still receive from the primary.
    @Test
    void shouldNotConfirmPositionOfSingleReplicaWhenOtherOneWasRemovedRecently() {
        PositionQuorum pair = PositionQuorum.of(confirmed -> false);
        pair.add(A, at(0));
        pair.add(B, at(0));
        pair.report(A, LogPosition.of(1, 81), at(10), true);
        pair.report(B, LogPosition.of(1, 81), at(10), false);
        pair.remove(A, at(15));
        pair.report(B, LogPosition.of(1, 81), at(20), false);

        assertThat(pair.newest()).isEmpty();
    }

    // Two of three replicas confirmed a position once the time of day was stepped.
    @Test
    void shouldCountAbsentInstanceWhenTimeOfDayIsStepped() {
        catchUpFour();
        quorum.remove(A, at(20));
        ClockReading stepped = new ClockReading(at(30).monotonicNanos(), at(60_000).epochNanos());
        quorum.report(B, LogPosition.of(1, 81), stepped, false);
        quorum.report(D, LogPosition.of(1, 81), stepped, false);

        assertThat(quorum.newest()).map(ObservedPosition::requestedAt).contains(at(10));
    }

    @Test
    void shouldIgnoreReportThatIsOlderThanTheLatest() {
        catchUpAll();
        quorum.report(B, LogPosition.of(2, 85), at(30), false);
        quorum.report(B, LogPosition.of(1, 81), at(20), false);
        quorum.report(A, LogPosition.of(1, 81), at(30), true);

        assertThat(quorum.newest().map(ObservedPosition::position)).contains(LogPosition.of(2, 85));
    }

    // Guards against a position that contradicts what the primary and a replica held before.
    @Test
    void shouldNotConfirmPositionBelowFloor() {
        catchUpAll();
        quorum.floor().raise(LogPosition.of(1, 90), at(20));
        quorum.report(B, LogPosition.of(1, 81), at(30), false);
        quorum.report(C, LogPosition.of(1, 81), at(30), false);
        assertThat(quorum.newest()).isEmpty();

        quorum.report(C, LogPosition.of(1, 90), at(40), false);

        assertThat(quorum.newest()).contains(new ObservedPosition(LogPosition.of(1, 90), at(30)));
    }

    private void catchUpAll() {
        quorum.report(A, LogPosition.of(1, 81), at(10), true);
        quorum.report(B, LogPosition.of(1, 81), at(10), false);
        quorum.report(C, LogPosition.of(1, 81), at(10), false);
    }

    private void catchUpFour() {
        quorum.add(D, at(0));
        catchUpAll();
        quorum.report(D, LogPosition.of(1, 81), at(10), false);
    }

    private static PositionQuorum groupOfThree() {
        PositionQuorum quorum = PositionQuorum.of(confirmed -> false);
        quorum.add(A, at(0));
        quorum.add(B, at(0));
        quorum.add(C, at(0));
        return quorum;
    }

    private static ClockReading at(long millis) {
        long nanos = TimeUnit.MILLISECONDS.toNanos(millis);
        return new ClockReading(nanos, nanos);
    }
}
