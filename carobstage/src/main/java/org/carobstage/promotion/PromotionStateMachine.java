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
 * Orders one promotion: a majority promises a new term, the member of it with the highest position
 * becomes primary, the others follow it.
 *
 * <p>Whatever was acknowledged is held by a majority under the old term, so one of those that
 * promised holds it, and the highest position among them covers it. The primary to replace counts
 * neither as a promise nor as a candidate.
 */
public final class PromotionStateMachine {
    /** How long a proposer waits for a majority to promise, and then for the promotion. */
    public static final Duration PHASE_TIMEOUT = Duration.ofMillis(300);

    private static final int TAG_BITS = 32;
    private static final long TAG_MASK = (1L << TAG_BITS) - 1;

    private final GroupSpec spec;

    private PromotionStateMachine(GroupSpec spec) {
        this.spec = spec;
    }

    /**
     * Creates the rules of a group.
     *
     * @param spec the group
     * @return the rules
     */
    public static PromotionStateMachine of(GroupSpec spec) {
        return new PromotionStateMachine(requireNonNull(spec, "spec is null"));
    }

    /**
     * Creates a term above another that no second proposal uses: two proposers that promise the
     * same term could each find a majority and promote two primaries.
     *
     * @param seen the highest term seen
     * @param tag bits that differ between any two proposals
     * @return the term
     */
    public static Term nextTerm(Term seen, int tag) {
        long round = (seen.number() >>> TAG_BITS) + 1;
        return Term.of(round << TAG_BITS | tag & TAG_MASK);
    }

    /**
     * Decides the next step.
     *
     * @param state the state
     * @param event what happened
     * @param nowNanos the time now, in ns of the runtime's clock
     * @return the new state and what to do
     */
    public PromotionTransition transition(
            PromotionState state, PromotionEvent event, long nowNanos) {
        if (state instanceof Idle && event instanceof PromotionRequested wanted) {
            return start(wanted, nowNanos);
        }
        if (state instanceof CollectingPromises promising) {
            return promising(promising, event, nowNanos);
        }
        if (state instanceof Promoting promoting) {
            return promoting(promoting, event, nowNanos);
        }
        return PromotionTransition.of(state);
    }

    private PromotionTransition start(PromotionRequested wanted, long now) {
        PromotionState state =
                new CollectingPromises(
                        wanted.term(),
                        wanted.replacedPrimary(),
                        wanted.preferredCandidate(),
                        Map.of(),
                        now + PHASE_TIMEOUT.toNanos());
        List<PromotionAction> asks = new ArrayList<>();
        spec.instances().stream()
                .map(InstanceSpec::id)
                .filter(id -> !wanted.replacedPrimary().equals(Optional.of(id)))
                .forEach(id -> asks.add(new Promise(wanted.term(), id)));
        return new PromotionTransition(state, asks);
    }

    private PromotionTransition promising(
            CollectingPromises state, PromotionEvent event, long now) {
        if (event instanceof ResponseReceived answered && answered.term().equals(state.term())) {
            ReplicationStatus standing = answered.status();
            if (standing.promisedTerm().isAfter(state.term())) {
                return abandon(state.term(), "another proposer is at " + standing.promisedTerm());
            }
            return standing.promisedTerm().equals(state.term())
                    ? promised(state, standing, now)
                    : PromotionTransition.of(state);
        }
        return now - state.deadlineNanos() >= 0
                ? abandon(state.term(), "no majority promised in time")
                : PromotionTransition.of(state);
    }

    private PromotionTransition promised(
            CollectingPromises state, ReplicationStatus standing, long now) {
        Map<InstanceId, ReplicationStatus> all = new HashMap<>(state.promises());
        all.put(standing.instance(), standing);
        if (all.size() < spec.majoritySize()) {
            return PromotionTransition.of(
                    new CollectingPromises(
                            state.term(),
                            state.replacedPrimary(),
                            state.preferredCandidate(),
                            all,
                            state.deadlineNanos()));
        }
        InstanceId chosen = choose(all, state.preferredCandidate());
        return PromotionTransition.of(
                new Promoting(state.term(), chosen, now + PHASE_TIMEOUT.toNanos()),
                new Promote(state.term(), chosen));
    }

    /** Chooses the highest position; the preferred instance and then the name decide ties. */
    private static InstanceId choose(
            Map<InstanceId, ReplicationStatus> promised, Optional<InstanceId> preferred) {
        LogPosition highest =
                promised.values().stream()
                        .map(ReplicationStatus::lastPosition)
                        .max(Comparator.naturalOrder())
                        .orElseThrow();
        return promised.values().stream()
                .filter(s -> s.lastPosition().equals(highest))
                .map(ReplicationStatus::instance)
                .min(
                        Comparator.comparing((InstanceId id) -> !preferred.equals(Optional.of(id)))
                                .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    private PromotionTransition promoting(Promoting state, PromotionEvent event, long now) {
        if (event instanceof ResponseReceived answered
                && answered.term().equals(state.term())
                && answered.status().instance().equals(state.candidate())) {
            ReplicationStatus standing = answered.status();
            if (standing.promisedTerm().isAfter(state.term())) {
                return abandon(state.term(), "another proposer is at " + standing.promisedTerm());
            }
            if (standing.isPrimary() && standing.promisedTerm().equals(state.term())) {
                return complete(state);
            }
        }
        return now - state.deadlineNanos() >= 0
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
