package org.carobstage.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.junit.jupiter.api.Test;

class ReportedLogsTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final Term TERM = Term.of(1);

    private final ReportedLogs logs = ReportedLogs.empty();

    // Guards against a replica that counts although it has restarted without its log.
    @Test
    void shouldFindLogShorterUntilItIsAsLongAsBefore() {
        assertThat(report(TERM, 81, 10, 12)).isFalse();
        assertThat(report(TERM, 0, 20, 22)).isTrue();
        assertThat(report(TERM, 80, 30, 32)).isTrue();
        assertThat(logs.isComplete(A)).isFalse();

        assertThat(report(TERM, 81, 40, 42)).isFalse();
        assertThat(logs.isComplete(A)).isTrue();
    }

    // Guards against a replica that stops to count because its responses overtook each other.
    @Test
    void shouldNotFindLogShorterWhenReportsOverlap() {
        report(TERM, 81, 10, 16);

        assertThat(report(TERM, 80, 14, 18)).isFalse();
        assertThat(logs.isComplete(A)).isTrue();
    }

    // Guards against a replica that never counts again because a promotion has rolled it back.
    @Test
    void shouldExpectOnlyWhatIsReportedInNewTermWhenLogWasRolledBack() {
        report(TERM, 81, 10, 12);

        assertThat(report(TERM.next(), 75, 20, 22)).isTrue();
        assertThat(report(TERM.next(), 75, 30, 32)).isFalse();
        assertThat(logs.isComplete(A)).isTrue();
    }

    // Guards against the same after a response from before the promotion that arrives late.
    @Test
    void shouldIgnoreLongerLogOfEarlierTermWhenLogWasRolledBack() {
        report(TERM.next(), 75, 20, 22);
        report(TERM, 81, 10, 24);

        assertThat(report(TERM.next(), 75, 30, 32)).isFalse();
    }

    // Guards against comparing the log of an instance with that of its former incarnation.
    @Test
    void shouldExpectNothingOfInstanceThatWasRemoved() {
        report(TERM, 81, 10, 12);
        logs.remove(A);

        assertThat(report(TERM, 5, 20, 22)).isFalse();
    }

    private boolean report(Term term, long offset, long requestedMillis, long nowMillis) {
        return logs.report(A, term, LogPosition.of(1, offset), at(requestedMillis), at(nowMillis));
    }

    private static ClockReading at(long millis) {
        long nanos = TimeUnit.MILLISECONDS.toNanos(millis);
        return new ClockReading(nanos, nanos);
    }
}
