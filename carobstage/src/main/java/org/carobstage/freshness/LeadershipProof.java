package org.carobstage.freshness;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;
import org.carobstage.runtime.Clock;

/**
 * Decides whether the report of a primary proves its position without other instances, from the
 * doubts that PrimaryCertainty collects. It does once a quorum has confirmed a position, as long as
 * nothing has indicated a replacement since then and the process observes the store, which holds
 * votes and promotions before they take effect.
 */
public final class LeadershipProof {
    /**
     * A promotion takes effect later than this after its first trace in the store, which precedes
     * the pause of the replicas and a promotion of 600 ms or more.
     */
    static final Duration MAX_OBSERVATION_AGE = Duration.ofMillis(1_500);

    private final Clock clock;
    private final boolean fencingEnforced;
    private Optional<ClockReading> storeObservedAt = Optional.empty();
    private boolean replacementIndicated;
    private Optional<Leader> leader = Optional.empty();
    private ClockReading doubtedAt;

    private LeadershipProof(Clock clock, boolean fencingEnforced) {
        this.clock = clock;
        this.fencingEnforced = fencingEnforced;
        this.doubtedAt = ClockReading.now(clock);
    }

    /**
     * Creates the proof of a group whose leader no quorum has confirmed.
     *
     * @param clock the runtime's clock
     * @param fencingEnforced whether the platform ends the leadership of a former primary; if not,
     *     there is never a proof
     * @return the proof
     */
    public static LeadershipProof of(Clock clock, boolean fencingEnforced) {
        return new LeadershipProof(requireNonNull(clock, "clock is null"), fencingEnforced);
    }

    /**
     * Sets until when the process knows the changes of the store.
     *
     * @param observedAt the time
     */
    public void setStoreObservedAt(ClockReading observedAt) {
        update();
        storeObservedAt = Optional.of(requireNonNull(observedAt, "observedAt is null"));
    }

    /**
     * Sets whether anything indicates that the primary is being replaced or has been.
     *
     * @param indicated true until the indication has ended
     */
    public void setReplacementIndicated(boolean indicated) {
        update();
        replacementIndicated = indicated;
        update();
    }

    /**
     * Records which instance leads; a quorum has to confirm each one after the first.
     *
     * @param instance the instance
     * @param term its term
     */
    public void setLeader(InstanceId instance, Term term) {
        Optional<Leader> next = Optional.of(new Leader(instance, term));
        if (leader.isPresent() && !leader.equals(next)) {
            doubtedAt = ClockReading.now(clock);
        }
        leader = next;
    }

    /**
     * Returns whether the report of the primary is sufficient.
     *
     * @param confirmed the newest position that a quorum has confirmed
     * @return true if the leadership has been certain since the quorum confirmed it
     */
    public boolean holds(Optional<ObservedPosition> confirmed) {
        update();
        return fencingEnforced
                && confirmed.filter(c -> c.requestedAt().isSince(doubtedAt)).isPresent()
                && !isInDoubt();
    }

    private void update() {
        if (isInDoubt()) {
            doubtedAt = ClockReading.now(clock);
        }
    }

    private boolean isInDoubt() {
        ClockReading now = ClockReading.now(clock);
        return replacementIndicated
                || storeObservedAt
                        .filter(at -> at.age(now).compareTo(MAX_OBSERVATION_AGE) <= 0)
                        .isEmpty();
    }

    private record Leader(InstanceId id, Term term) {}
}
