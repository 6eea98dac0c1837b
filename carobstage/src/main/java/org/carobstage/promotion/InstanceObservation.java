package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.OptionalLong;
import org.carobstage.backend.ReplicationStatus;

/**
 * Replication status that an instance reported, and when it was requested.
 *
 * @param status the reported status
 * @param requestSentNanos when the request was sent, in ns of the monotonic clock
 */
public record InstanceObservation(ReplicationStatus status, long requestSentNanos) {
    /** Rejects a null status. */
    public InstanceObservation {
        requireNonNull(status, "status is null");
    }

    /**
     * Returns a time no later than the instance's last contact with its primary.
     *
     * @return the time in ns of the monotonic clock, or empty if there was no contact at its term
     */
    public OptionalLong lastPrimaryContactNanos() {
        long contactAgeMillis = status.primaryContactAgeMillis();
        return contactAgeMillis < 0
                ? OptionalLong.empty()
                : OptionalLong.of(requestSentNanos - Duration.ofMillis(contactAgeMillis).toNanos());
    }
}
