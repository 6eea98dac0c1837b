package org.carobstage.promotion;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import org.carobstage.model.GroupSpec;

/**
 * Interval at which the replication status of a group's instances is polled. It is short while a
 * fault is suspected and otherwise grows with the time since the last statement. Responses to
 * statements also carry a replication status and postpone the next poll, so a busy group is rarely
 * polled.
 */
public final class StatusPollInterval {
    /** The interval while a fault is suspected. */
    public static final Duration SUSPECT_INTERVAL = Duration.ofMillis(20);

    /** The interval shortly after a statement. */
    public static final Duration ACTIVE_INTERVAL = Duration.ofMillis(100);

    /** The interval of a group without statements. */
    public static final Duration IDLE_INTERVAL = Duration.ofMillis(1_000);

    private static final Duration GRACE_PERIOD = Duration.ofMillis(60);

    private StatusPollInterval() {}

    /**
     * Returns the age of an instance's latest observation at which the instance is polled again.
     *
     * @param spec the group
     * @param observations the latest observation of each instance that has ever responded
     * @param idleTime the time since the last statement
     * @param isStatementWaiting true if a statement waits for the primary's response
     * @param nowNanos the current monotonic time in ns
     * @return the interval
     */
    public static Duration interval(
            GroupSpec spec,
            Collection<InstanceObservation> observations,
            Duration idleTime,
            boolean isStatementWaiting,
            long nowNanos) {
        Duration normalInterval = min(max(idleTime, ACTIVE_INTERVAL), IDLE_INTERVAL);
        Duration maxResponseAge =
                isStatementWaiting ? GRACE_PERIOD : normalInterval.plus(GRACE_PERIOD);
        Optional<InstanceObservation> primary = PrimaryFailureDetector.findPrimary(observations);
        boolean isPrimaryResponding =
                primary.filter(o -> nowNanos - o.requestSentNanos() <= maxResponseAge.toNanos())
                        .isPresent();
        long inContactCount = observations.stream().filter(StatusPollInterval::isInContact).count();
        boolean isEnoughInContact = spec.instances().size() - inContactCount < spec.majoritySize();
        return isPrimaryResponding && isEnoughInContact ? normalInterval : SUSPECT_INTERVAL;
    }

    private static boolean isInContact(InstanceObservation observation) {
        long contactAgeMillis = observation.status().primaryContactAgeMillis();
        return contactAgeMillis >= 0 && contactAgeMillis <= GRACE_PERIOD.toMillis();
    }

    private static Duration min(Duration one, Duration other) {
        return one.compareTo(other) <= 0 ? one : other;
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
