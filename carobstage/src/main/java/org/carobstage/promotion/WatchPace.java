package org.carobstage.promotion;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import org.carobstage.model.GroupSpec;

/** How often the instances of a group are asked for their standing. */
public enum WatchPace {
    /** No statements come. */
    IDLE(Duration.ofMillis(1_000)),
    /** Statements come, and their answers mostly bring the standings. */
    ACTIVE(Duration.ofMillis(100)),
    /** Something may be wrong. */
    CLOSE(Duration.ofMillis(20));

    private static final Duration GRACE = Duration.ofMillis(60);

    private final Duration interval;

    WatchPace(Duration interval) {
        this.interval = interval;
    }

    /**
     * Returns the age of the last sighting of an instance at which it is asked again.
     *
     * @return the interval
     */
    public Duration interval() {
        return interval;
    }

    /**
     * Chooses the pace.
     *
     * @param spec the group
     * @param sightings the last sighting of each instance that ever answered
     * @param active true if statements came lately
     * @param waiting true if a statement waits for the primary's answer
     * @param nowNanos the time now, in ns of the runtime's clock
     * @return the pace
     */
    public static WatchPace choose(
            GroupSpec spec,
            Collection<Sighting> sightings,
            boolean active,
            boolean waiting,
            long nowNanos) {
        WatchPace calm = active ? ACTIVE : IDLE;
        Duration overdue = waiting ? GRACE : calm.interval.plus(GRACE);
        Optional<Sighting> primary = Detector.primary(sightings);
        boolean answers =
                primary.filter(s -> nowNanos - s.askedNanos() <= overdue.toNanos()).isPresent();
        long inTouch = sightings.stream().filter(WatchPace::isInTouch).count();
        boolean enough = spec.instances().size() - inTouch < spec.majority();
        return answers && enough ? calm : CLOSE;
    }

    private static boolean isInTouch(Sighting sighting) {
        long millis = sighting.standing().contactMillis();
        return millis >= 0 && millis <= GRACE.toMillis();
    }
}
