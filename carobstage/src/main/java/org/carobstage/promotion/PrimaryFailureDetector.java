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
 * Distinguishes a failed primary from a broken connection, a paused process and the isolation of
 * this VM.
 *
 * <p>The evidence is the contact with the primary that the replicas report, not whether the primary
 * responds to this VM: a primary has failed only if a majority of the group responds to this VM and
 * has lost contact with the primary. Success or failure of a statement is no evidence.
 */
public final class PrimaryFailureDetector {
    /** How long a majority must have no contact with a primary that does not respond to this VM. */
    public static final Duration SILENT_TIMEOUT = Duration.ofMillis(250);

    /** How long a majority must have no contact with a primary that responds to this VM. */
    public static final Duration CUT_TIMEOUT = Duration.ofMillis(2_000);

    /** How long a group must have no primary, so that a promotion in progress can finish first. */
    public static final Duration VACANT_TIMEOUT = Duration.ofMillis(150);

    /** Maximum age of an observation that counts as a response. */
    public static final Duration MAX_OBSERVATION_AGE = Duration.ofMillis(150);

    /** A longer gap between two ticks means that this process was paused. */
    public static final Duration PAUSE_THRESHOLD = Duration.ofMillis(200);

    /** Additional delay before a proposal for each rank. */
    public static final Duration PROPOSAL_DELAY_PER_RANK = Duration.ofMillis(100);

    private static final Duration MAX_PRIMARY_CONTACT_AGE = Duration.ofMillis(500);
    private static final Duration MAX_FOLLOW_OBSERVATION_AGE = Duration.ofSeconds(2);
    private static final int MIN_CONSECUTIVE_TICKS = 3;

    private final GroupSpec spec;

    private PrimaryFailureDetector(GroupSpec spec) {
        this.spec = spec;
    }

    /**
     * Creates the failure detector of a group.
     *
     * @param spec the group
     * @return the detector
     */
    public static PrimaryFailureDetector of(GroupSpec spec) {
        return new PrimaryFailureDetector(requireNonNull(spec, "spec is null"));
    }

    /**
     * Computes the state after a tick.
     *
     * @param state the state after the last tick
     * @param observations the latest observation of each instance that has ever responded
     * @param nowNanos the current monotonic time in ns
     * @return the new state
     */
    public FailureDetectorState nextState(
            FailureDetectorState state,
            Collection<InstanceObservation> observations,
            long nowNanos) {
        boolean wasPaused = nowNanos - state.lastTickNanos() > PAUSE_THRESHOLD.toNanos();
        FailureDetectorState last = wasPaused ? FailureDetectorState.startingAt(nowNanos) : state;
        Term term = highestPromisedTerm(observations);
        boolean isSameTerm = term.equals(last.highestPromisedTerm());
        long termFirstSeenNanos = isSameTerm ? last.termFirstSeenNanos() : nowNanos;
        PrimaryHealth health =
                assessHealth(
                        observations, last.validFromNanos(), term, termFirstSeenNanos, nowNanos);
        boolean isUnchanged = isSameTerm && health == last.health();
        return new FailureDetectorState(
                nowNanos,
                last.validFromNanos(),
                term,
                termFirstSeenNanos,
                health,
                isUnchanged ? last.healthSinceNanos() : nowNanos,
                isUnchanged ? last.consecutiveTickCount() + 1 : 1);
    }

    /**
     * Returns whether this VM should propose now.
     *
     * @param state the state after the last tick
     * @param rank the number of VMs that propose before this one
     * @param nowNanos the current monotonic time in ns
     * @return true if the need for a promotion has lasted long enough
     */
    public boolean shouldPropose(FailureDetectorState state, int rank, long nowNanos) {
        Duration minDuration =
                state.health() == PrimaryHealth.VACANT ? VACANT_TIMEOUT : Duration.ZERO;
        Duration wait = minDuration.plus(PROPOSAL_DELAY_PER_RANK.multipliedBy(rank));
        return state.health().needsPromotion()
                && state.consecutiveTickCount() >= MIN_CONSECUTIVE_TICKS
                && nowNanos - state.healthSinceNanos() >= wait.toNanos();
    }

    /**
     * Returns the primary of the highest promised term.
     *
     * @param observations the latest observation of each instance
     * @return its observation, or empty if no observed instance is that primary
     */
    public static Optional<InstanceObservation> findPrimary(
            Collection<InstanceObservation> observations) {
        Term term = highestPromisedTerm(observations);
        return observations.stream()
                .filter(o -> o.status().isPrimary() && o.status().promisedTerm().equals(term))
                .findFirst();
    }

    /**
     * Returns whether an instance must be sent a follow request.
     *
     * @param observation the latest observation of the instance
     * @param term the term of the primary
     * @param nowNanos the current monotonic time in ns
     * @return true if it has promised a lower term or has lost contact with the primary
     */
    public static boolean needsFollowRequest(
            InstanceObservation observation, Term term, long nowNanos) {
        ReplicationStatus status = observation.status();
        boolean isRecent =
                nowNanos - observation.requestSentNanos() <= MAX_FOLLOW_OBSERVATION_AGE.toNanos();
        boolean lostContact =
                status.primaryContactAgeMillis() < 0
                        || status.primaryContactAgeMillis() > MAX_PRIMARY_CONTACT_AGE.toMillis();
        boolean isSameTerm = status.promisedTerm().equals(term);
        return isRecent && (term.isAfter(status.promisedTerm()) || isSameTerm && lostContact);
    }

    private static Term highestPromisedTerm(Collection<InstanceObservation> observations) {
        return observations.stream()
                .map(o -> o.status().promisedTerm())
                .max(Comparator.naturalOrder())
                .orElse(Term.ZERO);
    }

    private PrimaryHealth assessHealth(
            Collection<InstanceObservation> observations,
            long validFromNanos,
            Term term,
            long termFirstSeenNanos,
            long nowNanos) {
        List<InstanceObservation> fresh =
                observations.stream().filter(o -> isFresh(o, validFromNanos, nowNanos)).toList();
        if (fresh.size() < spec.majoritySize()) {
            return PrimaryHealth.ISOLATED;
        }
        Optional<InstanceObservation> primary = findPrimary(observations);
        if (primary.isEmpty()) {
            return PrimaryHealth.VACANT;
        }
        boolean responds = fresh.contains(primary.get());
        Duration timeout = responds ? CUT_TIMEOUT : SILENT_TIMEOUT;
        long lostContactCount =
                fresh.stream()
                        .filter(o -> !o.equals(primary.get()))
                        .filter(
                                o ->
                                        nowNanos - lastContactNanos(o, term, termFirstSeenNanos)
                                                > timeout.toNanos())
                        .count();
        if (lostContactCount < spec.majoritySize()) {
            return PrimaryHealth.HEALTHY;
        }
        return responds ? PrimaryHealth.CUT : PrimaryHealth.SILENT;
    }

    private static boolean isFresh(
            InstanceObservation observation, long validFromNanos, long nowNanos) {
        return observation.requestSentNanos() - validFromNanos >= 0
                && nowNanos - observation.requestSentNanos() <= MAX_OBSERVATION_AGE.toNanos();
    }

    /** Returns the last contact at the term, but no time before the term was first observed. */
    private static long lastContactNanos(
            InstanceObservation observation, Term term, long termFirstSeenNanos) {
        if (!observation.status().promisedTerm().equals(term)) {
            return termFirstSeenNanos;
        }
        return Math.max(
                observation.lastPrimaryContactNanos().orElse(termFirstSeenNanos),
                termFirstSeenNanos);
    }
}
