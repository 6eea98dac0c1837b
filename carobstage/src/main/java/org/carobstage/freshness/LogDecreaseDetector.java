package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * Logs when the log of an instance is shorter than it was: it restarted without a part of it, or a
 * promotion rolled back its last commits. {@link ReportedLogs} decides whether its reports count.
 */
public final class LogDecreaseDetector {
    /** The shortest time between lines about an instance. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(250);

    /** Includes instances that were removed, since they may return. */
    private static final int MAX_INSTANCES = 32;

    private final EventLog events;
    private final EventScope scope;
    private final Map<InstanceId, History> histories =
            new LinkedHashMap<>(MAX_INSTANCES, 0.75f, true);

    private LogDecreaseDetector(EventLog events, EventScope scope) {
        this.events = requireNonNull(events, "events is null");
        this.scope = requireNonNull(scope, "scope is null");
    }

    /**
     * Creates a detector without instances.
     *
     * @param events the event log
     * @param scope the group of the instances
     * @return the detector
     */
    public static LogDecreaseDetector of(EventLog events, EventScope scope) {
        return new LogDecreaseDetector(events, scope);
    }

    /**
     * Records the start time in the entry of an instance that was added.
     *
     * @param id the instance
     * @param bornMillis the start time, in ms since the Unix epoch
     */
    public void onAdded(InstanceId id, long bornMillis) {
        historyOf(id).bornMillis = bornMillis;
    }

    /**
     * Records what an instance reported.
     *
     * @param id the instance
     * @param position the end of the log that it has received
     * @param term the highest term that it has seen
     * @param primary whether it reported that it is primary
     * @param requestedAt when the report was requested
     * @param now the current clock reading
     */
    public void onReport(
            InstanceId id,
            LogPosition position,
            Term term,
            boolean primary,
            ClockReading requestedAt,
            ClockReading now) {
        History history = historyOf(id);
        Report report = new Report(position, term, primary, history.bornMillis, now);
        Optional<Report> before = history.last;
        if (before.filter(report::isBelow).isEmpty()) {
            history.last = Optional.of(report);
        } else if (requestedAt.isSince(before.get().receivedAt())) {
            // Reports that overlap may arrive in another order than they were made in.
            history.last = Optional.of(report);
            record(id, history, before.get(), report);
        }
    }

    private void record(InstanceId id, History history, Report before, Report report) {
        if (!history.limit.tryAcquire(report.receivedAt())) {
            return;
        }
        events.record(
                EventCode.INSTANCE_LOG_DECREASED,
                scope,
                "instance="
                        + id
                        + " before="
                        + before.position()
                        + " after="
                        + report.position()
                        + " term_before="
                        + before.term()
                        + " term="
                        + report.term()
                        + " role_before="
                        + before.role()
                        + " role="
                        + report.role()
                        + " born_changed="
                        + (before.bornMillis() != report.bornMillis())
                        + " born="
                        + report.bornMillis()
                        + " before_age_ms="
                        + before.receivedAt().age(report.receivedAt()).toMillis()
                        + " skipped="
                        + history.limit.takeSkipped());
    }

    private History historyOf(InstanceId id) {
        History history = histories.computeIfAbsent(id, i -> new History());
        if (histories.size() > MAX_INSTANCES) {
            histories.remove(histories.keySet().iterator().next());
        }
        return history;
    }

    private static final class History {
        private final LineLimit limit = LineLimit.of(MIN_INTERVAL);
        private long bornMillis;
        private Optional<Report> last = Optional.empty();
    }

    private record Report(
            LogPosition position,
            Term term,
            boolean primary,
            long bornMillis,
            ClockReading receivedAt) {
        private boolean isBelow(Report other) {
            return !position.isAtLeast(other.position)
                    || position.offset() < other.position.offset()
                    || other.term.isAfter(term);
        }

        private String role() {
            return primary ? "primary" : "replica";
        }
    }
}
