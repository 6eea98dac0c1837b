package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.OptionalLong;
import org.carobstage.backend.ReplicationStatus;

/**
 * What an instance said of itself and when it was asked.
 *
 * @param standing the standing
 * @param askedNanos when the request was sent, in ns of the runtime's clock
 */
public record InstanceObservation(ReplicationStatus status, long requestSentNanos) {
    /** Checks the sighting. */
    public InstanceObservation {
        requireNonNull(status, "standing is null");
    }

    /**
     * Returns a moment at or before the instance's last contact with its primary.
     *
     * @return the moment in ns of the runtime's clock, or empty if it has had none at its term
     */
    public OptionalLong lastPrimaryContactNanos() {
        long millis = status.primaryContactAgeMillis();
        return millis < 0
                ? OptionalLong.empty()
                : OptionalLong.of(requestSentNanos - Duration.ofMillis(millis).toNanos());
    }
}
