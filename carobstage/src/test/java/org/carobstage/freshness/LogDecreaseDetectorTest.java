package org.carobstage.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.carobstage.event.Event;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Test;

class LogDecreaseDetectorTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final EventLog events = EventLog.of(VmId.of("vm"), clock, 1_000);
    private final LogDecreaseDetector detector =
            LogDecreaseDetector.of(events, EventScope.of(GroupId.of("forms")));

    // A replica that restarts with nothing may confirm positions before its entry shows it.
    @Test
    void shouldRecordBothPositionsWhenLogIsShorterAndEntryIsUnchanged() {
        detector.onAdded(A, 100);
        report(A, LogPosition.of(1, 80), 1, false);
        advanceMillis(40);
        report(A, LogPosition.of(1, 3), 1, false);

        assertThat(details())
                .containsExactly(
                        "instance=a before=1:80 after=1:3 term_before=1 term=1"
                                + " role_before=replica role=replica born_changed=false born=100"
                                + " before_age_ms=40 skipped=0");
    }

    @Test
    void shouldRecordThatEntryChangedWhenInstanceWasRegisteredAgain() {
        detector.onAdded(A, 100);
        report(A, LogPosition.of(1, 80), 1, true);
        advanceMillis(1);
        detector.onAdded(A, 200);
        report(A, LogPosition.of(1, 80), 0, false);

        assertThat(details())
                .singleElement()
                .asString()
                .contains("role_before=primary role=replica born_changed=true born=200");
    }

    @Test
    void shouldRecordRollbackWhenLogOfLaterTermIsShorter() {
        report(A, LogPosition.of(1, 80), 1, true);
        advanceMillis(1);
        report(A, LogPosition.of(2, 78), 2, false);

        assertThat(details()).singleElement().asString().contains("before=1:80 after=2:78");
    }

    @Test
    void shouldRecordNothingWhenLogGrowsOrStays() {
        report(A, LogPosition.of(1, 80), 1, true);
        advanceMillis(1);
        report(A, LogPosition.of(1, 80), 1, true);
        advanceMillis(1);
        report(A, LogPosition.of(2, 81), 2, true);

        assertThat(details()).isEmpty();
    }

    // Responses on two connections may arrive in another order than the reports were made in.
    @Test
    void shouldRecordNothingWhenReportWasRequestedBeforeTheLatestArrived() {
        ClockReading requestedAt = ClockReading.now(clock);
        advanceMillis(5);
        report(A, LogPosition.of(1, 81), 1, true);
        advanceMillis(1);
        detector.onReport(
                A, LogPosition.of(1, 80), Term.of(1), true, requestedAt, ClockReading.now(clock));

        assertThat(details()).isEmpty();
    }

    // Guards against an unbounded log when an instance alternates between two logs.
    @Test
    void shouldLimitLinesOfAnInstanceWhenItsLogKeepsDecreasing() {
        for (int i = 0; i < 100; i++) {
            advanceMillis(10);
            report(A, LogPosition.of(1, 90 - i % 2), 1, false);
        }
        advanceMillis(10);
        report(B, LogPosition.of(1, 90), 1, false);
        advanceMillis(10);
        report(B, LogPosition.of(1, 89), 1, false);

        assertThat(details()).hasSizeBetween(4, 6).last().asString().startsWith("instance=b");
    }

    private void report(InstanceId id, LogPosition position, long term, boolean primary) {
        ClockReading now = ClockReading.now(clock);
        detector.onReport(id, position, Term.of(term), primary, now, now);
    }

    private List<String> details() {
        return events.localEvents().stream()
                .filter(e -> e.code() == EventCode.INSTANCE_LOG_DECREASED)
                .map(Event::detail)
                .toList();
    }

    private void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }
}
