package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.backend.Standing;
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
import org.carobstage.promotion.PromotionEvent.Answered;
import org.carobstage.promotion.PromotionEvent.Wanted;
import org.carobstage.promotion.PromotionState.Idle;
import org.carobstage.promotion.PromotionState.Promising;
import org.carobstage.promotion.PromotionState.Promoting;

/**
 * Orders one promotion: a majority promises a new term, the member of it with the highest position
 * becomes primary, the others follow it.
 *
 * <p>Whatever was acknowledged is held by a majority under the old term, so one of those that
 * promised holds it, and the highest position among them covers it. The primary to replace counts
 * neither as a promise nor as a candidate.
 */
public final class Promoter {
    /** How long a proposer waits for a majority to promise, and then for the promotion. */
    public static final Duration PHASE_TIMEOUT = Duration.ofMillis(300);

    private static final int TAG_BITS = 32;
    private static final long TAG_MASK = (1L << TAG_BITS) - 1;

    private final GroupSpec spec;

    private Promoter(GroupSpec spec) {
        this.spec = spec;
    }

    /**
     * Creates the rules of a group.
     *
     * @param spec the group
     * @return the rules
     */
    public static Promoter of(GroupSpec spec) {
        return new Promoter(requireNonNull(spec, "spec is null"));
    }

    /**
     * Creates a term above another that no second proposal uses: two proposers that promise the
     * same term could each find a majority and promote two primaries.
     *
     * @param seen the highest term seen
     * @param tag bits that differ between any two proposals
     * @return the term
     */
    public static Term termAbove(Term seen, int tag) {
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
    public PromotionStep step(PromotionState state, PromotionEvent event, long nowNanos) {
        if (state instanceof Idle && event instanceof Wanted wanted) {
            return start(wanted, nowNanos);
        }
        if (state instanceof Promising promising) {
            return promising(promising, event, nowNanos);
        }
        if (state instanceof Promoting promoting) {
            return promoting(promoting, event, nowNanos);
        }
        return PromotionStep.of(state);
    }

    private PromotionStep start(Wanted wanted, long now) {
        PromotionState state =
                new Promising(
                        wanted.term(),
                        wanted.replaced(),
                        wanted.preferred(),
                        Map.of(),
                        now + PHASE_TIMEOUT.toNanos());
        List<PromotionAction> asks = new ArrayList<>();
        spec.instances().stream()
                .map(InstanceSpec::id)
                .filter(id -> !wanted.replaced().equals(Optional.of(id)))
                .forEach(id -> asks.add(new Promise(wanted.term(), id)));
        return new PromotionStep(state, asks);
    }

    private PromotionStep promising(Promising state, PromotionEvent event, long now) {
        if (event instanceof Answered answered && answered.term().equals(state.term())) {
            Standing standing = answered.standing();
            if (standing.promised().isAfter(state.term())) {
                return abandon(state.term(), "another proposer is at " + standing.promised());
            }
            return standing.promised().equals(state.term())
                    ? promised(state, standing, now)
                    : PromotionStep.of(state);
        }
        return now - state.untilNanos() >= 0
                ? abandon(state.term(), "no majority promised in time")
                : PromotionStep.of(state);
    }

    private PromotionStep promised(Promising state, Standing standing, long now) {
        Map<InstanceId, Standing> all = new HashMap<>(state.promised());
        all.put(standing.instance(), standing);
        if (all.size() < spec.majority()) {
            return PromotionStep.of(
                    new Promising(
                            state.term(),
                            state.replaced(),
                            state.preferred(),
                            all,
                            state.untilNanos()));
        }
        InstanceId chosen = choose(all, state.preferred());
        return PromotionStep.of(
                new Promoting(state.term(), chosen, now + PHASE_TIMEOUT.toNanos()),
                new Promote(state.term(), chosen));
    }

    /** Chooses the highest position; the preferred instance and then the name decide ties. */
    private static InstanceId choose(
            Map<InstanceId, Standing> promised, Optional<InstanceId> preferred) {
        LogPosition highest =
                promised.values().stream()
                        .map(Standing::last)
                        .max(Comparator.naturalOrder())
                        .orElseThrow();
        return promised.values().stream()
                .filter(s -> s.last().equals(highest))
                .map(Standing::instance)
                .min(
                        Comparator.comparing((InstanceId id) -> !preferred.equals(Optional.of(id)))
                                .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    private PromotionStep promoting(Promoting state, PromotionEvent event, long now) {
        if (event instanceof Answered answered
                && answered.term().equals(state.term())
                && answered.standing().instance().equals(state.chosen())) {
            Standing standing = answered.standing();
            if (standing.promised().isAfter(state.term())) {
                return abandon(state.term(), "another proposer is at " + standing.promised());
            }
            if (standing.primary() && standing.promised().equals(state.term())) {
                return complete(state);
            }
        }
        return now - state.untilNanos() >= 0
                ? abandon(state.term(), state.chosen() + " did not become primary in time")
                : PromotionStep.of(state);
    }

    private PromotionStep complete(Promoting state) {
        List<PromotionAction> actions = new ArrayList<>();
        spec.instances().stream()
                .map(InstanceSpec::id)
                .filter(id -> !id.equals(state.chosen()))
                .forEach(id -> actions.add(new Follow(state.term(), id, state.chosen())));
        actions.add(new Complete(state.term(), state.chosen()));
        return new PromotionStep(new Idle(), actions);
    }

    private static PromotionStep abandon(Term term, String detail) {
        return PromotionStep.of(new Idle(), new Abandon(term, detail));
    }
}
