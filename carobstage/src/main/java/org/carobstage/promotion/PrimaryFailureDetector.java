package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.Term;

/**
 * Tells a lost primary from a lost connection, a paused process and our own isolation.
 *
 * <p>The evidence is what the replicas say of their contact with the primary, not whether the
 * primary answers here: a primary is lost only if a majority of the group answers here and has lost
 * contact with it. Nothing that a statement does counts.
 */
public final class PrimaryFailureDetector {
    /** How long a majority must have had no contact with a primary that is silent here too. */
    public static final Duration SILENT_TIMEOUT = Duration.ofMillis(250);

    /** How long a majority must have had no contact with a primary that answers here. */
    public static final Duration CUT_TIMEOUT = Duration.ofMillis(2_000);

    /** How long a group must have no primary, in which another proposer may finish. */
    public static final Duration VACANT_TIMEOUT = Duration.ofMillis(150);

    /** How old a sighting may be to count as an answer. */
    public static final Duration MAX_OBSERVATION_AGE = Duration.ofMillis(150);

    /** A longer gap between two ticks means that this process was paused. */
    public static final Duration PAUSE_THRESHOLD = Duration.ofMillis(200);

    /** How much longer each rank waits before it proposes. */
    public static final Duration PROPOSAL_DELAY_PER_RANK = Duration.ofMillis(100);

    private static final Duration FOLLOW_LIMIT = Duration.ofMillis(500);
    private static final Duration FOLLOW_WINDOW = Duration.ofSeconds(2);
    private static final int TICKS_NEEDED = 3;

    private final GroupSpec spec;

    private PrimaryFailureDetector(GroupSpec spec) {
        this.spec = spec;
    }

    /**
     * Creates the rules of a group.
     *
     * @param spec the group
     * @return the rules
     */
    public static PrimaryFailureDetector of(GroupSpec spec) {
        return new PrimaryFailureDetector(requireNonNull(spec, "spec is null"));
    }

    /**
     * Takes the sightings of a tick in.
     *
     * @param state the state after the last tick
     * @param sightings the last sighting of each instance that ever answered
     * @param nowNanos the time now, in ns of the runtime's clock
     * @return the new state
     */
    public FailureDetectorState nextState(
            FailureDetectorState state, Collection<InstanceObservation> sightings, long nowNanos) {
        boolean paused = nowNanos - state.lastTickNanos() > PAUSE_THRESHOLD.toNanos();
        FailureDetectorState last = paused ? FailureDetectorState.startingAt(nowNanos) : state;
        Term term = highest(sightings);
        boolean sameTerm = term.equals(last.highestPromisedTerm());
        long termNanos = sameTerm ? last.termFirstSeenNanos() : nowNanos;
        PrimaryHealth condition =
                judge(sightings, last.validFromNanos(), term, termNanos, nowNanos);
        boolean holds = sameTerm && condition == last.health();
        return new FailureDetectorState(
                nowNanos,
                last.validFromNanos(),
                term,
                termNanos,
                condition,
                holds ? last.healthSinceNanos() : nowNanos,
                holds ? last.consecutiveTickCount() + 1 : 1);
    }

    /**
     * Tells whether this VM should propose now.
     *
     * @param state the state after the last tick
     * @param rank how many other VMs should propose first
     * @param nowNanos the time now, in ns of the runtime's clock
     * @return true if the evidence has lasted long enough
     */
    public boolean shouldPropose(FailureDetectorState state, int rank, long nowNanos) {
        Duration least = state.health() == PrimaryHealth.VACANT ? VACANT_TIMEOUT : Duration.ZERO;
        Duration wait = least.plus(PROPOSAL_DELAY_PER_RANK.multipliedBy(rank));
        return state.health().needsPromotion()
                && state.consecutiveTickCount() >= TICKS_NEEDED
                && nowNanos - state.healthSinceNanos() >= wait.toNanos();
    }

    /**
     * Returns the primary of the highest promised term.
     *
     * @param sightings the sightings
     * @return its sighting, or empty if no instance is known to be that
     */
    public static Optional<InstanceObservation> findPrimary(
            Collection<InstanceObservation> sightings) {
        Term term = highest(sightings);
        return sightings.stream()
                .filter(s -> s.status().isPrimary() && s.status().promisedTerm().equals(term))
                .findFirst();
    }

    /**
     * Tells whether an instance must be told to follow the primary.
     *
     * @param sighting the instance's sighting
     * @param term the term of the primary
     * @param nowNanos the time now, in ns of the runtime's clock
     * @return true if it stands at a lower term or does not hear from the primary
     */
    public static boolean needsFollowRequest(
            InstanceObservation sighting, Term term, long nowNanos) {
        ReplicationStatus standing = sighting.status();
        boolean recent = nowNanos - sighting.requestSentNanos() <= FOLLOW_WINDOW.toNanos();
        boolean outOfTouch =
                standing.primaryContactAgeMillis() < 0
                        || standing.primaryContactAgeMillis() > FOLLOW_LIMIT.toMillis();
        boolean same = standing.promisedTerm().equals(term);
        return recent && (term.isAfter(standing.promisedTerm()) || same && outOfTouch);
    }

    private static Term highest(Collection<InstanceObservation> sightings) {
        return sightings.stream()
                .map(s -> s.status().promisedTerm())
                .max(Comparator.naturalOrder())
                .orElse(Term.ZERO);
    }

    private PrimaryHealth judge(
            Collection<InstanceObservation> sightings,
            long trust,
            Term term,
            long termNanos,
            long now) {
        List<InstanceObservation> fresh =
                sightings.stream().filter(s -> isFresh(s, trust, now)).toList();
        if (fresh.size() < spec.majoritySize()) {
            return PrimaryHealth.ISOLATED;
        }
        Optional<InstanceObservation> primary = findPrimary(sightings);
        if (primary.isEmpty()) {
            return PrimaryHealth.VACANT;
        }
        boolean answers = fresh.contains(primary.get());
        Duration limit = answers ? CUT_TIMEOUT : SILENT_TIMEOUT;
        long lost =
                fresh.stream()
                        .filter(s -> !s.equals(primary.get()))
                        .filter(s -> now - contact(s, term, termNanos) > limit.toNanos())
                        .count();
        if (lost < spec.majoritySize()) {
            return PrimaryHealth.HEALTHY;
        }
        return answers ? PrimaryHealth.CUT : PrimaryHealth.SILENT;
    }

    private static boolean isFresh(InstanceObservation sighting, long trust, long now) {
        return sighting.requestSentNanos() - trust >= 0
                && now - sighting.requestSentNanos() <= MAX_OBSERVATION_AGE.toNanos();
    }

    /** Contact at a lower term does not count; nobody is late before the term was known. */
    private static long contact(InstanceObservation sighting, Term term, long termNanos) {
        if (!sighting.status().promisedTerm().equals(term)) {
            return termNanos;
        }
        return Math.max(sighting.lastPrimaryContactNanos().orElse(termNanos), termNanos);
    }
}
