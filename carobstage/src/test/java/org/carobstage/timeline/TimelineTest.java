package org.carobstage.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventId;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.model.GroupId;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TimelineTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final EventScope VARAS = EventScope.of(GroupId.of("varas-1"));

    private final ManualClock clockBehind = ManualClock.of(START);
    private final ManualClock clockAhead = ManualClock.of(START.plusSeconds(5));
    private final EventLog one = EventLog.of(VmId.of("one"), clockAhead, 100);
    private final EventLog two = EventLog.of(VmId.of("two"), clockBehind, 100);

    @Nested
    class Merge {
        @Test
        void shouldOrderCauseBeforeEffectWhenClockOfCauseIsAhead() {
            EventId cause = one.record(EventCode.PROCESS_STARTED, VARAS, "cause");
            two.record(EventCode.CONFIGURATION_APPLIED, VARAS, "effect", Optional.of(cause));

            assertThat(details(Timeline.merge(List.of(messages(two), messages(one)))))
                    .containsExactly("cause", "effect");
        }

        @Test
        void shouldOrderByHybridTimeWhenPeerTimeWasMerged() {
            one.record(EventCode.PROCESS_STARTED, VARAS, "first");
            two.mergeTime(one.now());
            two.record(EventCode.PROCESS_STARTED, VARAS, "second");

            assertThat(details(Timeline.merge(List.of(messages(two), messages(one)))))
                    .containsExactly("first", "second");
        }

        @Test
        void shouldListEventsOfFailedProcessOnceWhenTwoPeersKeepThem() {
            one.record(EventCode.PROCESS_STARTED, VARAS, "last event");
            two.addPeerEvents(one.localEventsAfter(0));
            EventLog three = EventLog.of(VmId.of("three"), clockBehind, 100);
            three.addPeerEvents(one.localEventsAfter(0));

            assertThat(details(Timeline.merge(List.of(messages(two), messages(three)))))
                    .containsExactly("last event");
        }
    }

    @Nested
    class Filter {
        @Test
        void shouldKeepCausesOfOtherGroupsWhenFilteredByGroup() {
            EventId cause = one.record(EventCode.PROCESS_STARTED, EventScope.empty(), "cause");
            one.record(EventCode.PROCESS_STARTED, EventScope.empty(), "unrelated");
            one.record(EventCode.CONFIGURATION_APPLIED, VARAS, "effect", Optional.of(cause));

            Timeline all = Timeline.merge(List.of(messages(one)));

            assertThat(details(all.filter(new EventFilter("varas-1", "", ""))))
                    .containsExactly("cause", "effect");
        }
    }

    @Nested
    class Retention {
        @Test
        void shouldEvictOldestWhenLogIsFull() {
            EventLog small = EventLog.of(VmId.of("small"), clockBehind, 2);
            for (String detail : List.of("a", "b", "c")) {
                small.record(EventCode.PROCESS_STARTED, VARAS, detail);
                one.record(EventCode.PROCESS_STARTED, VARAS, detail);
            }
            small.addPeerEvents(one.localEvents());

            assertThat(small.allEvents())
                    .extracting(e -> e.detail())
                    .containsExactly("b", "c", "b", "c");
        }

        @Test
        void shouldContinueSequenceWhenProcessRestarts() {
            long before = one.record(EventCode.PROCESS_STARTED, VARAS, "").sequence();
            clockAhead.advance(Duration.ofSeconds(1));
            EventLog restarted = EventLog.of(VmId.of("one"), clockAhead, 100);

            assertThat(restarted.record(EventCode.PROCESS_STARTED, VARAS, "").sequence())
                    .isGreaterThan(before);
        }
    }

    @Nested
    class Html {
        @Test
        void shouldEscapeDetailsWhenRendered() {
            one.record(EventCode.PROCESS_STARTED, VARAS, "<script>");

            assertThat(HtmlTimelineRenderer.render(Timeline.merge(List.of(messages(one)))))
                    .contains("&lt;script&gt;")
                    .doesNotContain("<script>");
        }
    }

    private static List<EventMessage> messages(EventLog log) {
        return Timeline.toMessages(log.allEvents());
    }

    private static List<String> details(Timeline timeline) {
        return timeline.events().stream().map(EventMessage::detail).toList();
    }
}
