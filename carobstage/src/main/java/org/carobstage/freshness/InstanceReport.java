package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/**
 * The last report of an instance of a {@link PositionQuorum}.
 *
 * @param instance the instance
 * @param received the end of the log that it has received, empty if it has not reported
 * @param requestedAt when the report was requested, empty if it has not reported
 * @param primary whether it reported as the known primary
 * @param caughtUp whether its report counts
 * @param used whether the quorum of the newest position includes the report
 */
public record InstanceReport(
        InstanceId instance,
        Optional<LogPosition> received,
        Optional<ClockReading> requestedAt,
        boolean primary,
        boolean caughtUp,
        boolean used) {
    /** Rejects null components. */
    public InstanceReport {
        requireNonNull(instance, "instance is null");
        requireNonNull(received, "received is null");
        requireNonNull(requestedAt, "requestedAt is null");
    }

    /**
     * Describes the report for a log line.
     *
     * @param now the current clock reading
     * @return the instance, its position and the age of the report
     */
    String describe(ClockReading now) {
        return instance
                + " "
                + received.map(LogPosition::toString).orElse("unknown")
                + requestedAt.map(at -> " age_ms=" + at.age(now).toMillis()).orElse("")
                + (primary ? " primary" : "")
                + (caughtUp ? "" : " behind");
    }
}
