package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.util.regex.Pattern;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.runtime.Clock;

/** Logs events of requests at a limited rate; the number of dropped events is logged. */
final class RequestEventLog {
    /** At about 200 bytes per line this limits the log to 40 kB/s. */
    private static final int MAX_LINES_PER_SECOND = 200;

    /** Longer than the ids that clients generate; a message may hold one of 1 MiB. */
    private static final int MAX_VALUE_LENGTH = 200;

    private static final long WINDOW_NANOS = 1_000_000_000L;

    private static final Pattern ESCAPED = Pattern.compile("[^!-\\[\\]-~\\u00a1-\\u00ff]");

    private final EventLog events;
    private final Clock clock;
    private long windowStartNanos;
    private int lineCount;
    private int droppedCount;

    private RequestEventLog(EventLog events, Clock clock) {
        this.events = events;
        this.clock = clock;
        this.windowStartNanos = clock.nanoTime();
    }

    static RequestEventLog of(EventLog events, Clock clock) {
        return new RequestEventLog(requireNonNull(events, "events is null"), clock);
    }

    void record(EventCode code, String database, String requestId, String detail) {
        long nowNanos = clock.nanoTime();
        if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
            if (droppedCount > 0) {
                events.record(EventCode.LINES_DROPPED, EventScope.empty(), "lines=" + droppedCount);
            }
            windowStartNanos = nowNanos;
            lineCount = 0;
            droppedCount = 0;
        }
        if (lineCount >= MAX_LINES_PER_SECOND) {
            droppedCount++;
            return;
        }
        lineCount++;
        events.record(
                code,
                EventScope.empty().withRequest(escape(requestId)),
                "database=" + escape(database) + " " + detail);
    }

    /** Returns a client's text as one word, which ends where the text does, of a bounded length. */
    private static String escape(String text) {
        String bounded =
                text.length() <= MAX_VALUE_LENGTH
                        ? text
                        : text.substring(0, MAX_VALUE_LENGTH) + "...";
        return ESCAPED.matcher(bounded)
                .replaceAll(match -> String.format("\\\\u%04x", (int) match.group().charAt(0)));
    }
}
