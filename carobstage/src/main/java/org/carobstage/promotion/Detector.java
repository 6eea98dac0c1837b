package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.carobstage.backend.Standing;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.Term;

/**
 * Tells a lost primary from a lost connection, a paused process and our own isolation.
 *
 * <p>The evidence is what the replicas say of their contact with the primary, not whether the
 * primary answers here: a primary is lost only if a majority of the group answers here and has lost
 * contact with it. Nothing that a statement does counts.
 */
public final class Detector {
    /** How long a majority must have had no contact with a primary that is silent here too. */
    public static final Duration SILENT_LIMIT = Duration.ofMillis(250);

    /** How long a majority must have had no contact with a primary that answers here. */
    public static final Duration CUT_LIMIT = Duration.ofMillis(1_000);

    /** How long a group must have no primary, in which another proposer may finish. */
    public static final Duration VACANT_LIMIT = Duration.ofMillis(150);

    /** How old a sighting may be to count as an answer. */
    public static final Duration FRESH = Duration.ofMillis(150);

    /** A longer gap between two ticks means that this process was paused. */
    public static final Duration PAUSE_LIMIT = Duration.ofMillis(200);

    /** How much longer each rank waits before it proposes. */
    public static final Duration STAGGER = Duration.ofMillis(100);

    private static final int TICKS_NEEDED = 3;

    private final GroupSpec spec;

    private Detector(GroupSpec spec) {
        this.spec = spec;
    }

    /**
     * Creates the rules of a group.
     *
     * @param spec the group
     * @return the rules
     */
    public static Detector of(GroupSpec spec) {
        return new Detector(requireNonNull(spec, "spec is null"));
    }

    /**
     * Takes the sightings of a tick in.
     *
     * @param state the state after the last tick
     * @param sightings the last sighting of each instance that ever answered
     * @param nowNanos the time now, in ns of the runtime's clock
     * @return the new state
     */
    public DetectionState step(
            DetectionState state, Collection<Sighting> sightings, long nowNanos) {
        boolean paused = nowNanos - state.tickNanos() > PAUSE_LIMIT.toNanos();
        DetectionState last = paused ? DetectionState.startingAt(nowNanos) : state;
        Term term = highest(sightings);
        boolean sameTerm = term.equals(last.term());
        long termNanos = sameTerm ? last.termNanos() : nowNanos;
        Condition condition = judge(sightings, last.trustNanos(), term, termNanos, nowNanos);
        boolean holds = sameTerm && condition == last.condition();
        return new DetectionState(
                nowNanos,
                last.trustNanos(),
                term,
                termNanos,
                condition,
                holds ? last.sinceNanos() : nowNanos,
                holds ? last.ticks() + 1 : 1);
    }

    /**
     * Tells whether this VM should propose now.
     *
     * @param state the state after the last tick
     * @param rank how many other VMs should propose first
     * @param nowNanos the time now, in ns of the runtime's clock
     * @return true if the evidence has lasted long enough
     */
    public boolean isDue(DetectionState state, int rank, long nowNanos) {
        Duration least = state.condition() == Condition.VACANT ? VACANT_LIMIT : Duration.ZERO;
        Duration wait = least.plus(STAGGER.multipliedBy(rank));
        return state.condition().needsPromotion()
                && state.ticks() >= TICKS_NEEDED
                && nowNanos - state.sinceNanos() >= wait.toNanos();
    }

    /**
     * Returns the primary of the highest promised term.
     *
     * @param sightings the sightings
     * @return its sighting, or empty if no instance is known to be that
     */
    public static Optional<Sighting> primary(Collection<Sighting> sightings) {
        Term term = highest(sightings);
        return sightings.stream()
                .filter(s -> s.standing().primary() && s.standing().promised().equals(term))
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
    public static boolean needsFollow(Sighting sighting, Term term, long nowNanos) {
        Standing standing = sighting.standing();
        boolean fresh = nowNanos - sighting.askedNanos() <= FRESH.toNanos();
        boolean outOfTouch =
                standing.contactMillis() < 0
                        || standing.contactMillis() > SILENT_LIMIT.toMillis() / 2;
        boolean same = standing.promised().equals(term);
        return fresh && (term.isAfter(standing.promised()) || same && outOfTouch);
    }

    private static Term highest(Collection<Sighting> sightings) {
        return sightings.stream()
                .map(s -> s.standing().promised())
                .max(Comparator.naturalOrder())
                .orElse(Term.ZERO);
    }

    private Condition judge(
            Collection<Sighting> sightings, long trust, Term term, long termNanos, long now) {
        List<Sighting> fresh = sightings.stream().filter(s -> isFresh(s, trust, now)).toList();
        if (fresh.size() < spec.majority()) {
            return Condition.ISOLATED;
        }
        Optional<Sighting> primary = primary(sightings);
        if (primary.isEmpty()) {
            return Condition.VACANT;
        }
        boolean answers = fresh.contains(primary.get());
        Duration limit = answers ? CUT_LIMIT : SILENT_LIMIT;
        long lost =
                fresh.stream()
                        .filter(s -> !s.equals(primary.get()))
                        .filter(s -> now - contact(s, term, termNanos) > limit.toNanos())
                        .count();
        if (lost < spec.majority()) {
            return Condition.HEALTHY;
        }
        return answers ? Condition.CUT : Condition.SILENT;
    }

    private static boolean isFresh(Sighting sighting, long trust, long now) {
        return sighting.askedNanos() - trust >= 0 && now - sighting.askedNanos() <= FRESH.toNanos();
    }

    /** Contact at a lower term does not count; nobody is late before the term was known. */
    private static long contact(Sighting sighting, Term term, long termNanos) {
        if (!sighting.standing().promised().equals(term)) {
            return termNanos;
        }
        return Math.max(sighting.contactNanos().orElse(termNanos), termNanos);
    }
}
