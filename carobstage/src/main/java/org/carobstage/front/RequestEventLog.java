package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.runtime.Clock;

/** Logs decisions on requests, at a bounded rate; what is dropped is counted and told. */
final class RequestEventLog {
    /** Lines a second; at some 200 bytes a line this is 40 kB/s at most. */
    private static final int LINES_PER_SECOND = 200;

    private static final long SECOND = 1_000_000_000L;

    private final EventLog events;
    private final Clock clock;
    private long windowStart;
    private int lines;
    private int dropped;

    private RequestEventLog(EventLog events, Clock clock) {
        this.events = events;
        this.clock = clock;
        this.windowStart = clock.nanoTime();
    }

    static RequestEventLog of(EventLog events, Clock clock) {
        return new RequestEventLog(requireNonNull(events, "events is null"), clock);
    }

    void record(EventCode code, String database, String request, String detail) {
        long now = clock.nanoTime();
        if (now - windowStart >= SECOND) {
            if (dropped > 0) {
                events.record(EventCode.LINES_DROPPED, EventScope.empty(), "lines=" + dropped);
            }
            windowStart = now;
            lines = 0;
            dropped = 0;
        }
        if (lines >= LINES_PER_SECOND) {
            dropped++;
            return;
        }
        lines++;
        events.record(
                code,
                EventScope.empty().withRequest(request),
                "database=" + database + " " + detail);
    }
}
