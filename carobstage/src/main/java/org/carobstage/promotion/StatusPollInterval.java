package org.carobstage.promotion;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import org.carobstage.model.GroupSpec;

/**
 * How often the instances of a group are asked for their standing: often in doubt, otherwise the
 * more rarely the longer no statement came. Answers to statements bring standings too and put the
 * next question off, so a busy group is hardly asked.
 */
public final class StatusPollInterval {
    /** The interval when something may be wrong. */
    public static final Duration SUSPECT_INTERVAL = Duration.ofMillis(20);

    /** The interval after a statement. */
    public static final Duration ACTIVE_INTERVAL = Duration.ofMillis(100);

    /** The interval when no statements come. */
    public static final Duration IDLE_INTERVAL = Duration.ofMillis(1_000);

    private static final Duration GRACE = Duration.ofMillis(60);

    private StatusPollInterval() {}

    /**
     * Returns the age of the last sighting of an instance at which it is asked again.
     *
     * @param spec the group
     * @param sightings the last sighting of each instance that ever answered
     * @param quiet how long ago the last statement came
     * @param waiting true if a statement waits for the primary's answer
     * @param nowNanos the time now, in ns of the runtime's clock
     * @return the interval
     */
    public static Duration interval(
            GroupSpec spec,
            Collection<InstanceObservation> sightings,
            Duration quiet,
            boolean waiting,
            long nowNanos) {
        Duration calm = min(max(quiet, ACTIVE_INTERVAL), IDLE_INTERVAL);
        Duration overdue = waiting ? GRACE : calm.plus(GRACE);
        Optional<InstanceObservation> primary = PrimaryFailureDetector.findPrimary(sightings);
        boolean answers =
                primary.filter(s -> nowNanos - s.requestSentNanos() <= overdue.toNanos())
                        .isPresent();
        long inTouch = sightings.stream().filter(StatusPollInterval::isInTouch).count();
        boolean enough = spec.instances().size() - inTouch < spec.majoritySize();
        return answers && enough ? calm : SUSPECT_INTERVAL;
    }

    private static boolean isInTouch(InstanceObservation sighting) {
        long millis = sighting.status().primaryContactAgeMillis();
        return millis >= 0 && millis <= GRACE.toMillis();
    }

    private static Duration min(Duration one, Duration other) {
        return one.compareTo(other) <= 0 ? one : other;
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
