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
    private static final Duration NONE = Duration.ZERO;
    private static final Duration TEN = Duration.ofNanos(10);

    private final History history = History.empty();

    @Nested
    class Check {
        @Test
        void shouldAcceptCleanHistory() {
            add("ana", 0, 5, Outcome.DONE, 1, 2);
            add("ana", 6, 9, Outcome.UNKNOWN, 3);
            add("ana", 6, 9, Outcome.NOT_RUN, 4);
            list("bia", 7, 30, TEN);
            list("bia", 10, 12, NONE, 1, 2, 3);
            list("ana", 31, 32, NONE, 1, 2, 3);
            history.add(new LimitSample("a", 3, 3, 20, 20, 0));

            assertThat(kinds(1, 2, 3)).isEmpty();
        }

        @Test
        void shouldAcceptMissingWriteWhenItOverlapsRead() {
            add("ana", 0, 11, Outcome.DONE, 1);
            list("ana", 10, 12, NONE);

            assertThat(kinds(1)).isEmpty();
        }

        @Test
        void shouldFindOwnWriteThatSessionDoesNotSee() {
            add("ana", 0, 5, Outcome.DONE, 1);
            list("ana", 6, 7, TEN);

            assertThat(kinds(1)).containsExactly(Kind.READ_YOUR_WRITES);
        }

        @Test
        void shouldFindReadThatGoesBack() {
            add("ana", 0, 20, Outcome.DONE, 1);
            list("bia", 1, 2, TEN, 1);
            list("bia", 3, 4, TEN);

            assertThat(kinds(1)).containsExactly(Kind.MONOTONIC_READS);
        }

        @Test
        void shouldFindCurrentReadThatMissesAnotherCallersWrite() {
            add("ana", 0, 5, Outcome.DONE, 1);
            list("bia", 6, 7, NONE);

            assertThat(kinds(1)).containsExactly(Kind.CURRENT_READ);
        }

        @Test
        void shouldFindReadOlderThanItsStaleness() {
            add("ana", 0, 5, Outcome.DONE, 1);
            list("bia", 15, 16, TEN);
            list("bia", 16, 17, TEN);

            assertThat(kinds(1)).containsExactly(Kind.STALENESS);
        }

        @Test
        void shouldFindLostWrite() {
            add("ana", 0, 5, Outcome.DONE, 1);

            assertThat(kinds()).containsExactly(Kind.LOST);
        }

        @Test
        void shouldFindDoubledWriteAtTheEndAndInAnAnswer() {
            add("ana", 0, 5, Outcome.UNKNOWN, 1);
            list("ana", 6, 7, NONE, 1, 1);

            assertThat(kinds(1, 1)).containsExactly(Kind.DOUBLED, Kind.DOUBLED);
        }

        @Test
        void shouldFindRefusedWriteThatRan() {
            add("ana", 0, 5, Outcome.NOT_RUN, 1);

            assertThat(kinds(1)).containsExactly(Kind.NOT_RUN_RAN);
        }

        @Test
        void shouldFindTransactionThatIsSeenInPart() {
            add("ana", 0, 20, Outcome.DONE, 1, 2);
            list("bia", 6, 7, NONE, 2);

            assertThat(kinds(1, 2)).containsExactly(Kind.TRANSACTION_SPLIT);
        }

        @Test
        void shouldFindTransactionThatIsKeptInPart() {
            add("ana", 0, 20, Outcome.UNKNOWN, 1, 2);

            assertThat(kinds(1)).containsExactly(Kind.TRANSACTION_SPLIT);
        }

        @Test
        void shouldFindRowThatNobodyWrote() {
            assertThat(kinds(9)).containsExactly(Kind.FOREIGN_ANSWER);
        }

        @Test
        void shouldFindAnswerToAnotherOwnersRequest() {
            add("ana", 0, 5, Outcome.DONE, 1);
            read("ana", "other", 6, new ListEntries(NONE, false, entries(1), 1));

            assertThat(kinds(1)).containsExactly(Kind.FOREIGN_ANSWER);
        }

        @Test
        void shouldFindAnswerShorterThanItsEndMark() {
            read("ana", "forms", 6, new ListEntries(NONE, false, List.of(), 1));

            assertThat(kinds()).containsExactly(Kind.PARTIAL_ANSWER);
        }

        @Test
        void shouldFindInstanceOverItsLimits() {
            history.add(new LimitSample("a", 4, 3, 20, 20, 0));
            history.add(new LimitSample("a", 3, 3, 21, 20, 0));
            history.add(new LimitSample("a", 3, 3, 20, 20, 1));

            assertThat(kinds()).containsExactly(Kind.LIMIT, Kind.LIMIT, Kind.LIMIT);
        }
    }

    private List<Kind> kinds(long... last) {
        history.setFinalEntries(entries(last));
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
