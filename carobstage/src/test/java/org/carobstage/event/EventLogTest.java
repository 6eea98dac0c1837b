package org.carobstage.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Test;

class EventLogTest {
    private static final int MEGABYTE = 1 << 20;

    private final EventLog events = EventLog.of(VmId.of("vm"), ManualClock.of(Instant.EPOCH), 512);

    // An entry of 1 MB that is written again and again was kept in 512 events, more than the heap.
    @Test
    void shouldBoundWhatIsKeptWhenDetailsAreVeryLong() {
        for (int i = 0; i < 600; i++) {
            events.record(
                    EventCode.ENTRY_UNREADABLE,
                    EventScope.empty(),
                    "key=servers/x reason=not host:port: " + "9".repeat(MEGABYTE));
        }

        assertThat(events.localEvents()).hasSize(512);
        assertThat(events.localEvents().stream().mapToLong(e -> e.detail().length()).sum())
                .isLessThan(8L * MEGABYTE);
        assertThat(events.localEvents().get(0).detail())
                .startsWith("key=servers/x reason=not host:port: 999")
                .endsWith("more characters");
    }

    // A detail that is cut within a character could not be encoded.
    @Test
    void shouldCutBetweenCharactersWhenDetailIsLong() {
        for (String start : new String[] {"", "a"}) {
            events.record(
                    EventCode.ENTRY_UNREADABLE,
                    EventScope.empty(),
                    start + "\uD83D\uDE00".repeat(MEGABYTE));
        }

        assertThat(events.localEvents())
                .allSatisfy(e -> assertThat(e.detail().codePoints()).noneMatch(this::isSurrogate));
    }

    @Test
    void shouldKeepDetailOfOrdinaryLength() {
        events.record(EventCode.ENTRY_UNREADABLE, EventScope.empty(), "a".repeat(8_000));

        assertThat(events.localEvents().get(0).detail()).isEqualTo("a".repeat(8_000));
    }

    private boolean isSurrogate(int codePoint) {
        return Character.getType(codePoint) == Character.SURROGATE;
    }
}
