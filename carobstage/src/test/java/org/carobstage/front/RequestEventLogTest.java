package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.carobstage.event.Event;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestEventLogTest {
    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final EventLog events = EventLog.of(VmId.of("vm"), clock, 10);
    private final RequestEventLog log = RequestEventLog.of(events, clock);

    // A line feed in an id or a name began a field, or a line, that the proxy had not written.
    @ParameterizedTest
    @CsvSource({
        "'r1\ndatabase=other', 'r1\\u000adatabase=other'",
        "'r1\r\n2001 FORGED', 'r1\\u000d\\u000a2001\\u0020FORGED'",
        "'r\\u000a1', 'r\\u005cu000a1'",
        "'r\u0085\u007f\u00e9', 'r\\u0085\\u007f\u00e9'",
        "5c0e7a21d94b36f8, 5c0e7a21d94b36f8"
    })
    void shouldWriteTextOfClientAsOneWord(String text, String written) {
        log.record(EventCode.STATEMENT_REFUSED, text, text, "no route");

        assertThat(recorded().scope().request()).isEqualTo(written);
        assertThat(recorded().detail()).isEqualTo("database=" + written + " no route");
    }

    // Ids of 1 MiB, of which 200 are logged per second, would fill the log.
    @Test
    void shouldCutTextOfClientWhenItIsLong() {
        log.record(EventCode.STATEMENT_REFUSED, "d".repeat(1 << 20), "\n".repeat(1 << 20), "");

        assertThat(recorded().toString()).hasSizeLessThan(2_000);
    }

    private Event recorded() {
        return events.localEvents().get(0);
    }
}
