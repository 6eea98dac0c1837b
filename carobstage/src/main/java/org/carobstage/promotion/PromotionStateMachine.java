package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.promotion.PromotionAction.Abandon;
import org.carobstage.promotion.PromotionAction.Complete;
import org.carobstage.promotion.PromotionAction.Follow;
import org.carobstage.promotion.PromotionAction.Promise;
import org.carobstage.promotion.PromotionAction.Promote;
import org.carobstage.promotion.PromotionEvent.PromotionRequested;
import org.carobstage.promotion.PromotionEvent.ResponseReceived;
import org.carobstage.promotion.PromotionState.CollectingPromises;
import org.carobstage.promotion.PromotionState.Idle;
import org.carobstage.promotion.PromotionState.Promoting;

/**
 * State machine of one promotion: a majority promises a new term, the instance of this majority
 * with the highest log position becomes primary, and the others follow it.
 *
 * <p>Every acknowledged write is held by a majority under the old term, so at least one instance
 * that promised holds it, and the highest log position among them covers it. The primary to replace
 * counts neither as a promise nor as a candidate.
 */
public final class PromotionStateMachine {
    /**
     * How long a proposer waits for a majority to promise, and then for the candidate to become
     * primary.
     */
    public static final Duration PHASE_TIMEOUT = Duration.ofMillis(300);

    private static final int TAG_BITS = 32;
    private static final long TAG_MASK = (1L << TAG_BITS) - 1;

    private final GroupSpec spec;

    private PromotionStateMachine(GroupSpec spec) {
        this.spec = spec;
    }

    /**
     * Creates the state machine of a group.
     *
     * @param spec the group
     * @return the state machine
     */
    public static PromotionStateMachine of(GroupSpec spec) {
        return new PromotionStateMachine(requireNonNull(spec, "spec is null"));
    }

    /**
     * Creates a term above another that no other proposal uses. If two proposers used the same
     * term, each could collect promises from a majority, and two primaries would be promoted.
     *
     * @param highestSeenTerm the highest observed term
     * @param tag bits that differ between any two proposals
     * @return the term
     */
    public static Term nextTerm(Term highestSeenTerm, int tag) {
        long round = (highestSeenTerm.number() >>> TAG_BITS) + 1;
        return Term.of(round << TAG_BITS | tag & TAG_MASK);
    }

    /**
     * Handles an event.
     *
     * @param state the current state
     * @param event the event
     * @param nowNanos the current monotonic time in ns
     * @return the new state and the actions to perform
     */
    public PromotionTransition transition(
            PromotionState state, PromotionEvent event, long nowNanos) {
        if (state instanceof Idle && event instanceof PromotionRequested request) {
            return start(request, nowNanos);
        }
        if (state instanceof CollectingPromises collecting) {
            return handleWhileCollecting(collecting, event, nowNanos);
        }
        if (state instanceof Promoting promoting) {
            return handleWhilePromoting(promoting, event, nowNanos);
        }
        return PromotionTransition.of(state);
    }

    private PromotionTransition start(PromotionRequested request, long nowNanos) {
        PromotionState state =
                new CollectingPromises(
                        request.term(),
                        request.replacedPrimary(),
                        request.preferredCandidate(),
                        Map.of(),
                        nowNanos + PHASE_TIMEOUT.toNanos());
        List<PromotionAction> actions = new ArrayList<>();
        spec.instances().stream()
                .map(InstanceSpec::id)
                .filter(id -> !request.replacedPrimary().equals(Optional.of(id)))
                .forEach(id -> actions.add(new Promise(request.term(), id)));
        return new PromotionTransition(state, actions);
    }

    private PromotionTransition handleWhileCollecting(
            CollectingPromises state, PromotionEvent event, long nowNanos) {
        if (event instanceof ResponseReceived response && response.term().equals(state.term())) {
            ReplicationStatus status = response.status();
            if (status.promisedTerm().isAfter(state.term())) {
                return abandon(
                        state.term(),
                        "an instance has promised the higher term " + status.promisedTerm());
            }
            return status.promisedTerm().equals(state.term())
                    ? addPromise(state, status, nowNanos)
                    : PromotionTransition.of(state);
        }
        return nowNanos - state.deadlineNanos() >= 0
                ? abandon(state.term(), "no majority promised in time")
                : PromotionTransition.of(state);
    }

    private PromotionTransition addPromise(
            CollectingPromises state, ReplicationStatus status, long nowNanos) {
        Map<InstanceId, ReplicationStatus> promises = new HashMap<>(state.promises());
        promises.put(status.instance(), status);
        if (promises.size() < spec.majoritySize()) {
            return PromotionTransition.of(
                    new CollectingPromises(
                            state.term(),
                            state.replacedPrimary(),
                            state.preferredCandidate(),
                            promises,
                            state.deadlineNanos()));
        }
        InstanceId candidate = chooseCandidate(promises, state.preferredCandidate());
        return PromotionTransition.of(
                new Promoting(state.term(), candidate, nowNanos + PHASE_TIMEOUT.toNanos()),
                new Promote(state.term(), candidate));
    }

    /** Chooses the highest log position, then the preferred candidate, then the lowest name. */
    private static InstanceId chooseCandidate(
            Map<InstanceId, ReplicationStatus> promises, Optional<InstanceId> preferredCandidate) {
        LogPosition highest =
                promises.values().stream()
                        .map(ReplicationStatus::lastPosition)
                        .max(Comparator.naturalOrder())
                        .orElseThrow();
        return promises.values().stream()
                .filter(s -> s.lastPosition().equals(highest))
                .map(ReplicationStatus::instance)
                .min(
                        Comparator.comparing(
                                        (InstanceId id) ->
                                                !preferredCandidate.equals(Optional.of(id)))
                                .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    private PromotionTransition handleWhilePromoting(
            Promoting state, PromotionEvent event, long nowNanos) {
        if (event instanceof ResponseReceived response
                && response.term().equals(state.term())
                && response.status().instance().equals(state.candidate())) {
            ReplicationStatus status = response.status();
            if (status.promisedTerm().isAfter(state.term())) {
                return abandon(
                        state.term(),
                        "an instance has promised the higher term " + status.promisedTerm());
            }
            if (status.isPrimary() && status.promisedTerm().equals(state.term())) {
                return complete(state);
            }
        }
        return nowNanos - state.deadlineNanos() >= 0
                ? abandon(state.term(), state.candidate() + " did not become primary in time")
                : PromotionTransition.of(state);
    }

    private PromotionTransition complete(Promoting state) {
        List<PromotionAction> actions = new ArrayList<>();
        spec.instances().stream()
                .map(InstanceSpec::id)
                .filter(id -> !id.equals(state.candidate()))
                .forEach(id -> actions.add(new Follow(state.term(), id, state.candidate())));
        actions.add(new Complete(state.term(), state.candidate()));
        return new PromotionTransition(new Idle(), actions);
    }

    private static PromotionTransition abandon(Term term, String detail) {
        return PromotionTransition.of(new Idle(), new Abandon(term, detail));
    }
}
