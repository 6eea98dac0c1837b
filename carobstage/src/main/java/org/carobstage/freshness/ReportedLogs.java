package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * The logs that the instances of a group have reported. Within a term a log only grows, so a
 * shorter one is that of an instance that has restarted without its log. A promotion may roll a log
 * back, after which the instance has to catch up as well.
 */
public final class ReportedLogs {
    private final Map<InstanceId, ReportedLog> logs = new TreeMap<>();

    private ReportedLogs() {}

    /**
     * Creates the logs of a group that has reported none.
     *
     * @return the logs
     */
    public static ReportedLogs empty() {
        return new ReportedLogs();
    }

    /**
     * Records the end of the log that an instance reported.
     *
     * @param id the instance
     * @param term the highest term that it has seen
     * @param received the end of its log
     * @param requestedAt when the report was requested
     * @param now the current clock reading
     * @return whether the instance holds less than it has reported before
     */
    public boolean report(
            InstanceId id,
            Term term,
            LogPosition received,
            ClockReading requestedAt,
            ClockReading now) {
        requireNonNull(received, "received is null");
        ReportedLog known = logs.get(id);
        ReportedLog next =
                known == null
                        ? new ReportedLog(term, received, now, true)
                        : known.next(term, received, requestedAt, now);
        logs.put(id, next);
        return !next.complete() || known != null && !next.longest().isAtLeast(known.longest());
    }

    /**
     * Returns whether an instance holds all that it has reported in its term.
     *
     * @param id the instance
     * @return false from the report of a shorter log until one that is as long as before
     */
    public boolean isComplete(InstanceId id) {
        return Optional.ofNullable(logs.get(id)).map(ReportedLog::complete).orElse(true);
    }

    /**
     * Removes what an instance has reported, which has left or is known to have restarted.
     *
     * @param id the instance
     */
    public void remove(InstanceId id) {
        logs.remove(id);
    }

    /**
     * The longest log that an instance has reported in a term.
     *
     * @param term the highest term that the instance has seen
     * @param longest the end of the longest log
     * @param reportedAt when it was reported
     * @param complete whether the instance still held it at its last report
     */
    private record ReportedLog(
            Term term, LogPosition longest, ClockReading reportedAt, boolean complete) {
        private ReportedLog next(
                Term nextTerm, LogPosition received, ClockReading requestedAt, ClockReading now) {
            if (nextTerm.isAfter(term)) {
                return new ReportedLog(nextTerm, received, now, true);
            }
            // Reports that overlap may arrive in another order than they were made.
            boolean overlaps = !requestedAt.isSince(reportedAt);
            if (overlaps && (term.isAfter(nextTerm) || !received.isAtLeast(longest))) {
                return this;
            }
            return received.isAtLeast(longest)
                    ? new ReportedLog(term, received, now, true)
                    : new ReportedLog(term, longest, reportedAt, false);
        }
    }
}
