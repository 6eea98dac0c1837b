package org.carobstage.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobstage.event.Event;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReadEvidenceLogTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");
    private static final InstanceId C = InstanceId.of("c");

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final EventLog events = EventLog.of(VmId.of("vm"), clock, 1_000);
    private final Map<String, Long> counters = new TreeMap<>();
    private Optional<InstanceId> primary = Optional.of(A);
    private LogPosition acknowledged = LogPosition.empty();

    @Nested
    class Unfenced {
        private final PositionQuorum quorum = PositionQuorum.of(confirmed -> false);
        private final ReadEvidenceLog log = logOf(quorum);

        // A stale read can't be traced if the log doesn't say whose reports confirmed its position.
        @Test
        void shouldRecordReportsAndMembersWhenReplicasConfirmWithoutPrimary() {
            addAll(quorum, log);
            reportAll(quorum, log, LogPosition.of(1, 80));
            advanceMillis(300);
            removePrimary(quorum, log);

            assertThat(details(EventCode.READ_EVIDENCE_CHANGED))
                    .last()
                    .asString()
                    .contains("before=quorum basis=replicas")
                    .contains("position=1:80 age_ms=300 required=2")
                    .contains("confirming=[b 1:80 age_ms=300, c 1:80 age_ms=300] others=[]")
                    .contains("absent=[a] removed=[a 1:80 age_ms=300 primary removed_ms=0]")
                    .contains("primary=none");
        }

        // Guards against a line for each report, which would push all others out of the timeline.
        @Test
        void shouldRecordBasisOnceWhenPrimaryAndReplicasKeepReporting() {
            addAll(quorum, log);
            for (int i = 0; i < 100; i++) {
                reportAll(quorum, log, LogPosition.of(1, 80 + i));
                advanceMillis(100);
            }

            assertThat(details(EventCode.READ_EVIDENCE_CHANGED)).hasSize(1);
            assertThat(counters.get("read_evidence_total{basis=\"quorum\"}")).isGreaterThan(100);
        }

        // Guards against an unbounded log when the basis changes with each round of queries.
        @Test
        void shouldRecordAtMostFourLinesASecondWhenBasisAlternates() {
            addAll(quorum, log);
            reportAll(quorum, log, LogPosition.of(1, 80));
            for (int i = 0; i < 400; i++) {
                report(quorum, log, i % 2 == 0 ? B : C, LogPosition.of(1, 80));
                advanceMillis(2);
                report(quorum, log, i % 2 == 0 ? C : A, LogPosition.of(1, 80));
                advanceMillis(3);
            }

            List<String> lines = details(EventCode.READ_EVIDENCE_CHANGED);
            assertThat(lines).hasSizeBetween(2, 9);
            assertThat(lines).last().asString().doesNotContain("skipped=0");
        }

        // A basis that changes while the limit of lines is reached must not remain unknown.
        @Test
        void shouldRecordBasisLaterWhenLimitOfLinesIsReached() {
            addAll(quorum, log);
            reportAll(quorum, log, LogPosition.of(1, 80));
            advanceMillis(10);
            report(quorum, log, B, LogPosition.of(1, 80));
            report(quorum, log, C, LogPosition.of(1, 80));
            assertThat(details(EventCode.READ_EVIDENCE_CHANGED)).hasSize(1);
            advanceMillis(300);
            report(quorum, log, B, LogPosition.of(1, 80));
            report(quorum, log, C, LogPosition.of(1, 80));

            assertThat(details(EventCode.READ_EVIDENCE_CHANGED))
                    .last()
                    .asString()
                    .contains("before=quorum basis=replicas");
        }

        @Test
        void shouldRecordThatNothingIsConfirmedWhenInstancesAreRemoved() {
            addAll(quorum, log);
            reportAll(quorum, log, LogPosition.of(1, 80));
            advanceMillis(300);
            removePrimary(quorum, log);
            advanceMillis(300);
            remove(quorum, log, B);

            assertThat(details(EventCode.READ_EVIDENCE_CHANGED))
                    .last()
                    .asString()
                    .contains("basis=none")
                    .doesNotContain("position=");
        }

        // Guards against evidence that misses a commit which this process has acknowledged.
        @Test
        void shouldRecordContradictionWhenPositionIsBelowAcknowledgedCommit() {
            addAll(quorum, log);
            acknowledged = LogPosition.of(1, 85);
            reportAll(quorum, log, LogPosition.of(1, 80));
            advanceMillis(10);
            reportAll(quorum, log, LogPosition.of(1, 80));

            assertThat(details(EventCode.READ_EVIDENCE_CONTRADICTED))
                    .isNotEmpty()
                    .allMatch(d -> d.contains("below=1:85") && d.contains("acknowledged=1:85"));
        }

        // A commit that only the primary has is not acknowledged, so evidence may lack it.
        @Test
        void shouldRecordDecreaseWithoutContradictionWhenOnlyPrimaryHadPosition() {
            addAll(quorum, log);
            reportAll(quorum, log, LogPosition.of(1, 80));
            advanceMillis(10);
            report(quorum, log, A, LogPosition.of(1, 81));
            report(quorum, log, B, LogPosition.of(1, 80));
            advanceMillis(10);
            report(quorum, log, B, LogPosition.of(1, 80));
            report(quorum, log, C, LogPosition.of(1, 80));

            assertThat(details(EventCode.READ_EVIDENCE_DECREASED))
                    .singleElement()
                    .asString()
                    .contains("before=1:81 before_basis=quorum")
                    .contains("basis=replicas position=1:80");
            assertThat(details(EventCode.READ_EVIDENCE_CONTRADICTED)).isEmpty();
        }

        // Evidence requested before a commit was acknowledged does not have to cover it.
        @Test
        void shouldRecordContradictionOnlyWhenEvidenceWasRequestedAfterCommit() {
            addAll(quorum, log);
            reportAll(quorum, log, LogPosition.of(1, 80));
            advanceMillis(5);
            ClockReading requestedAt = now();
            advanceMillis(5);
            acknowledged = LogPosition.of(1, 85);
            List.of(A, B)
                    .forEach(
                            id -> {
                                quorum.report(id, LogPosition.of(1, 80), requestedAt, id == A);
                                update(log);
                            });
            assertThat(details(EventCode.READ_EVIDENCE_CONTRADICTED)).isEmpty();
            reportAll(quorum, log, LogPosition.of(1, 80));

            assertThat(details(EventCode.READ_EVIDENCE_CONTRADICTED)).hasSize(1);
        }
    }

    @Nested
    class Fenced {
        private final PositionQuorum quorum = PositionQuorum.of(confirmed -> true);
        private final ReadEvidenceLog log = logOf(quorum);

        // Evidence of a primary alone has to be told apart from that of a quorum with it.
        @Test
        void shouldRecordPrimaryAsBasisWhenItsReportSuffices() {
            addAll(quorum, log);
            report(quorum, log, A, LogPosition.of(1, 80));

            assertThat(details(EventCode.READ_EVIDENCE_CHANGED))
                    .singleElement()
                    .asString()
                    .contains("before=none basis=primary position=1:80")
                    .contains("confirming=[a 1:80 age_ms=0 primary]")
                    .contains("others=[b unknown behind, c unknown behind]");
        }

        // Guards against a line for each report of a replica while the primary reports too.
        @Test
        void shouldKeepPrimaryAsBasisWhenReplicasReportToo() {
            addAll(quorum, log);
            for (int i = 0; i < 20; i++) {
                reportAll(quorum, log, LogPosition.of(1, 80 + i));
                advanceMillis(300);
            }

            assertThat(details(EventCode.READ_EVIDENCE_CHANGED)).hasSize(1);
            assertThat(counters.get("read_evidence_total{basis=\"primary\"}")).isGreaterThan(10);
        }
    }

    private ReadEvidenceLog logOf(PositionQuorum quorum) {
        return ReadEvidenceLog.of(
                events,
                EventScope.of(GroupId.of("forms")),
                (name, value) -> counters.merge(name, value, Long::sum),
                quorum,
                now());
    }

    private void addAll(PositionQuorum quorum, ReadEvidenceLog log) {
        List.of(A, B, C).forEach(id -> add(quorum, log, id));
    }

    private void add(PositionQuorum quorum, ReadEvidenceLog log, InstanceId id) {
        quorum.add(id, now());
        log.onAdded(id);
        update(log);
    }

    private void remove(PositionQuorum quorum, ReadEvidenceLog log, InstanceId id) {
        log.onRemoving(id, now());
        quorum.remove(id, now());
        update(log);
    }

    private void removePrimary(PositionQuorum quorum, ReadEvidenceLog log) {
        primary = Optional.empty();
        remove(quorum, log, A);
    }

    private void reportAll(PositionQuorum quorum, ReadEvidenceLog log, LogPosition position) {
        List.of(A, B, C).forEach(id -> report(quorum, log, id, position));
    }

    private void report(
            PositionQuorum quorum, ReadEvidenceLog log, InstanceId id, LogPosition position) {
        quorum.report(id, position, now(), primary.equals(Optional.of(id)));
        update(log);
    }

    private void update(ReadEvidenceLog log) {
        log.update(primary, acknowledged, now());
    }

    private List<String> details(EventCode code) {
        return events.localEvents().stream()
                .filter(e -> e.code() == code)
                .map(Event::detail)
                .toList();
    }

    private ClockReading now() {
        return ClockReading.now(clock);
    }

    private void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }
}
