package org.carobstage.testbed.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.carobstage.testbed.history.Operation.Add;
import org.carobstage.testbed.history.Operation.ListEntries;
import org.carobstage.testbed.history.Operation.Outcome;
import org.carobstage.testbed.history.Violation.Kind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HistoryTest {
    private static final Duration NO_STALENESS = Duration.ZERO;
    private static final Duration TEN_NANOS_STALENESS = Duration.ofNanos(10);

    private final History history = History.empty();

    @Nested
    class Check {
        @Test
        void shouldReportNothingWhenHistoryIsConsistent() {
            add("ana", 0, 5, Outcome.DONE, 1, 2);
            add("ana", 6, 9, Outcome.UNKNOWN, 3);
            add("ana", 6, 9, Outcome.NOT_RUN, 4);
            list("bia", 7, 30, TEN_NANOS_STALENESS);
            list("bia", 10, 12, NO_STALENESS, 1, 2, 3);
            list("ana", 31, 32, NO_STALENESS, 1, 2, 3);
            history.add(new LimitSample("a", 3, 3, 20, 20, 0));

            assertThat(checkKinds(1, 2, 3)).isEmpty();
        }

        @Test
        void shouldReportNothingWhenReadMissesConcurrentWrite() {
            add("ana", 0, 11, Outcome.DONE, 1);
            list("ana", 10, 12, NO_STALENESS);

            assertThat(checkKinds(1)).isEmpty();
        }

        @Test
        void shouldReportReadYourWritesWhenSessionMissesItsOwnWrite() {
            add("ana", 0, 5, Outcome.DONE, 1);
            list("ana", 6, 7, TEN_NANOS_STALENESS);

            assertThat(checkKinds(1)).containsExactly(Kind.READ_YOUR_WRITES);
        }

        @Test
        void shouldReportMonotonicReadsWhenLaterReadMissesEntry() {
            add("ana", 0, 20, Outcome.DONE, 1);
            list("bia", 1, 2, TEN_NANOS_STALENESS, 1);
            list("bia", 3, 4, TEN_NANOS_STALENESS);

            assertThat(checkKinds(1)).containsExactly(Kind.MONOTONIC_READS);
        }

        @Test
        void shouldReportCurrentReadWhenItMissesWriteOfAnotherSession() {
            add("ana", 0, 5, Outcome.DONE, 1);
            list("bia", 6, 7, NO_STALENESS);

            assertThat(checkKinds(1)).containsExactly(Kind.CURRENT_READ);
        }

        @Test
        void shouldReportStalenessWhenReadExceedsMaximum() {
            add("ana", 0, 5, Outcome.DONE, 1);
            list("bia", 15, 16, TEN_NANOS_STALENESS);
            list("bia", 16, 17, TEN_NANOS_STALENESS);

            assertThat(checkKinds(1)).containsExactly(Kind.STALENESS);
        }

        @Test
        void shouldReportLostWhenAcknowledgedWriteIsMissing() {
            add("ana", 0, 5, Outcome.DONE, 1);

            assertThat(checkKinds()).containsExactly(Kind.LOST);
        }

        @Test
        void shouldReportDoubledWhenEntryIsRepeatedInReadAndInFinalEntries() {
            add("ana", 0, 5, Outcome.UNKNOWN, 1);
            list("ana", 6, 7, NO_STALENESS, 1, 1);

            assertThat(checkKinds(1, 1)).containsExactly(Kind.DOUBLED, Kind.DOUBLED);
        }

        @Test
        void shouldReportNotRunRanWhenWriteReportedNotRunTookEffect() {
            add("ana", 0, 5, Outcome.NOT_RUN, 1);

            assertThat(checkKinds(1)).containsExactly(Kind.NOT_RUN_RAN);
        }

        @Test
        void shouldReportTransactionSplitWhenReadReturnsPart() {
            add("ana", 0, 20, Outcome.DONE, 1, 2);
            list("bia", 6, 7, NO_STALENESS, 2);

            assertThat(checkKinds(1, 2)).containsExactly(Kind.TRANSACTION_SPLIT);
        }

        @Test
        void shouldReportTransactionSplitWhenOnlyPartIsStored() {
            add("ana", 0, 20, Outcome.UNKNOWN, 1, 2);

            assertThat(checkKinds(1)).containsExactly(Kind.TRANSACTION_SPLIT);
        }

        @Test
        void shouldReportForeignAnswerWhenNoOperationWroteEntry() {
            assertThat(checkKinds(9)).containsExactly(Kind.FOREIGN_ANSWER);
        }

        @Test
        void shouldReportForeignAnswerWhenEntriesBelongToAnotherOwner() {
            add("ana", 0, 5, Outcome.DONE, 1);
            read("ana", "other", 6, new ListEntries(NO_STALENESS, false, entries(1), 1));

            assertThat(checkKinds(1)).containsExactly(Kind.FOREIGN_ANSWER);
        }

        @Test
        void shouldReportPartialAnswerWhenEntriesAreFewerThanEndMark() {
            read("ana", "forms", 6, new ListEntries(NO_STALENESS, false, List.of(), 1));

            assertThat(checkKinds()).containsExactly(Kind.PARTIAL_ANSWER);
        }

        @Test
        void shouldReportLimitWhenInstanceExceedsItsLimits() {
            history.add(new LimitSample("a", 4, 3, 20, 20, 0));
            history.add(new LimitSample("a", 3, 3, 21, 20, 0));
            history.add(new LimitSample("a", 3, 3, 20, 20, 1));

            assertThat(checkKinds()).containsExactly(Kind.LIMIT, Kind.LIMIT, Kind.LIMIT);
        }
    }

    private List<Kind> checkKinds(long... finalIds) {
        history.setFinalEntries(entries(finalIds));
        return history.check().stream().map(Violation::kind).toList();
    }

    private void add(String session, long start, long end, Outcome outcome, long... ids) {
        Add add = new Add(Arrays.stream(ids).boxed().toList());
        history.add(new Operation(session, "forms", start, end, outcome, "a", add));
    }

    private void list(String session, long start, long end, Duration staleness, long... seen) {
        ListEntries list = new ListEntries(staleness, true, entries(seen), seen.length);
        history.add(new Operation(session, "forms", start, end, Outcome.DONE, "b", list));
    }

    private void read(String session, String owner, long start, ListEntries list) {
        history.add(new Operation(session, owner, start, start + 1, Outcome.DONE, "b", list));
    }

    private static List<Entry> entries(long... ids) {
        return Arrays.stream(ids).boxed().map(id -> new Entry(id, "forms")).toList();
    }
}
