package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.runtime.Clock;

/** Logs at an interval what has happened to the connections to instances. */
final class ConnectionCountLog {
    private static final Duration INTERVAL = Duration.ofSeconds(5);

    private final ProxyMetrics metrics;
    private final EventLog events;
    private final Clock clock;
    private Map<String, Long> logged = Map.of();
    private long nextNanos;

    private ConnectionCountLog(ProxyMetrics metrics, EventLog events, Clock clock) {
        this.metrics = requireNonNull(metrics, "metrics is null");
        this.events = requireNonNull(events, "events is null");
        this.clock = requireNonNull(clock, "clock is null");
        this.nextNanos = clock.nanoTime() + INTERVAL.toNanos();
    }

    /**
     * Creates a log whose first line follows after one interval.
     *
     * @param metrics the counters
     * @param events the event log
     * @param clock the runtime's clock
     * @return the log
     */
    static ConnectionCountLog of(ProxyMetrics metrics, EventLog events, Clock clock) {
        return new ConnectionCountLog(metrics, events, clock);
    }

    /** Writes a line if the interval has passed and a counter has changed. */
    void tick() {
        long nowNanos = clock.nanoTime();
        if (nowNanos - nextNanos < 0) {
            return;
        }
        nextNanos = nowNanos + INTERVAL.toNanos();
        Map<String, Long> current = metrics.connectionCounters();
        String changes =
                current.entrySet().stream()
                        .map(e -> Map.entry(e.getKey(), e.getValue() - before(e.getKey())))
                        .filter(e -> e.getValue() != 0)
                        .map(e -> e.getKey() + "=" + e.getValue())
                        .collect(Collectors.joining(" "));
        logged = current;
        if (!changes.isEmpty()) {
            events.record(EventCode.CONNECTION_COUNTS, EventScope.empty(), changes);
        }
    }

    private long before(String name) {
        return logged.getOrDefault(name, 0L);
    }
}
