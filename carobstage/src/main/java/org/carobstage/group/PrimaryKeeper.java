package org.carobstage.group;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.carobstage.backend.Backend;
import org.carobstage.backend.Standing;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.promotion.Announcement;
import org.carobstage.promotion.Condition;
import org.carobstage.promotion.DetectionState;
import org.carobstage.promotion.Detector;
import org.carobstage.promotion.Promoter;
import org.carobstage.promotion.PromotionAction;
import org.carobstage.promotion.PromotionEvent;
import org.carobstage.promotion.PromotionSetup;
import org.carobstage.promotion.PromotionState;
import org.carobstage.promotion.PromotionStep;
import org.carobstage.promotion.Sighting;
import org.carobstage.promotion.WatchPace;
import org.carobstage.runtime.Clock;

/** Watches the instances of a group and carries out what detector and promoter decide. */
final class PrimaryKeeper {
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(100);
    private static final Duration CONTROL_TIMEOUT = Duration.ofMillis(250);
    private static final Duration FOLLOW_INTERVAL = Duration.ofMillis(300);
    private static final Duration BACK_OFF = Duration.ofMillis(100);
    private static final Duration ISOLATION_LIMIT = Duration.ofSeconds(2);
    private static final Duration SWITCH_TIMEOUT = Duration.ofSeconds(2);

    private final Group group;
    private final GroupSpec spec;
    private final Map<InstanceId, Backend> backends;
    private final BooleanSupplier waiting;
    private final PromotionSetup setup;
    private final Clock clock;
    private final Executor duty;
    private final Detector detector;
    private final Promoter promoter;
    private final EventScope scope;
    private final Set<InstanceId> polled = new HashSet<>();
    private final Set<InstanceId> awaited = new HashSet<>();
    private final Map<InstanceId, Long> followed = new HashMap<>();
    private DetectionState detection;
    private PromotionState promotion = new PromotionState.Idle();
    private CompletableFuture<Boolean> ordered = CompletableFuture.completedFuture(false);
    private Optional<InstanceId> primary = Optional.empty();
    private long proposeFromNanos;
    private long activeNanos;
    private boolean isolationNoted;
    private boolean closed;

    PrimaryKeeper(
            Group group,
            Map<InstanceId, Backend> backends,
            BooleanSupplier waiting,
            PromotionSetup setup,
            Clock clock,
            Executor duty) {
        this.group = group;
        this.spec = group.view().spec();
        this.backends = backends;
        this.waiting = waiting;
        this.setup = requireNonNull(setup, "setup is null");
        this.clock = clock;
        this.duty = duty;
        this.detector = Detector.of(spec);
        this.promoter = Promoter.of(spec);
        this.scope = EventScope.of(spec.id());
        this.detection = DetectionState.startingAt(clock.nanoTime());
        this.proposeFromNanos = clock.nanoTime();
        this.activeNanos = clock.nanoTime();
    }

    void start() {
        duty.execute(this::tick);
    }

    void close() {
        closed = true;
    }

    /** Notes that statements come. */
    void touch() {
        activeNanos = clock.nanoTime();
    }

    /** Replaces a primary that serves by another instance, once that has caught up. */
    CompletionStage<Boolean> switchTo(InstanceId next) {
        Optional<Standing> current = group.view().primary();
        boolean possible =
                current.isPresent()
                        && backends.containsKey(next)
                        && !current.get().instance().equals(next)
                        && promotion instanceof PromotionState.Idle;
        if (!possible) {
            return CompletableFuture.completedFuture(false);
        }
        return ask(current.get().instance(), LogPosition.empty(), Duration.ZERO)
                .thenComposeAsync(now -> catchUp(next, now), duty)
                .thenComposeAsync(ready -> order(next, ready), duty);
    }

    private CompletionStage<Optional<Standing>> ask(
            InstanceId instance, LogPosition atLeast, Duration wait) {
        return backends.get(instance).standing(atLeast, wait, wait.plus(CONTROL_TIMEOUT));
    }

    private CompletionStage<Optional<Standing>> catchUp(
            InstanceId next, Optional<Standing> current) {
        return current.map(s -> ask(next, s.last(), SWITCH_TIMEOUT))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()))
                .thenApply(s -> s.filter(n -> n.last().covers(current.get().last())));
    }

    private CompletionStage<Boolean> order(InstanceId next, Optional<Standing> ready) {
        Optional<InstanceId> old = group.view().primary().map(Standing::instance);
        if (ready.isEmpty() || !(promotion instanceof PromotionState.Idle)) {
            return CompletableFuture.completedFuture(false);
        }
        ordered = new CompletableFuture<>();
        propose(old.filter(id -> !id.equals(next)), Optional.of(next), "ordered switch");
        return ordered.thenApply(complete -> complete && primary.equals(Optional.of(next)));
    }

    private void tick() {
        if (closed) {
            return;
        }
        clock.schedule(() -> duty.execute(this::tick), TICK);
        long now = clock.nanoTime();
        if (now - detection.tickNanos() > Detector.PAUSE_LIMIT.toNanos()) {
            setup.events().record(EventCode.PAUSE_NOTICED, scope, "observations dropped");
        }
        Collection<Sighting> sightings = group.view().sightings();
        Duration quiet = Duration.ofNanos(now - activeNanos);
        Duration interval = WatchPace.interval(spec, sightings, quiet, waiting.getAsBoolean(), now);
        detect(sightings, now);
        noteIsolation(interval.equals(WatchPace.CLOSE), now);
        handle(new PromotionEvent.Ticked());
        notePrimary();
        watch(interval, now);
        rejoin(now);
    }

    private void detect(Collection<Sighting> sightings, long now) {
        detection = detector.step(detection, sightings, now);
        int rank = setup.rank().rank(spec.id(), detection.term());
        boolean idle = promotion instanceof PromotionState.Idle;
        if (idle && now - proposeFromNanos >= 0 && detector.isDue(detection, rank, now)) {
            Condition condition = detection.condition();
            setup.events().record(EventCode.PRIMARY_SUSPECTED, scope, condition + " " + sightings);
            Optional<InstanceId> replaced =
                    condition == Condition.VACANT
                            ? Optional.empty()
                            : group.view().primary().map(Standing::instance);
            propose(replaced, Optional.empty(), condition.toString());
        }
    }

    private void noteIsolation(boolean close, long now) {
        boolean isolated = close && detection.condition() == Condition.ISOLATED;
        long nanos = now - detection.sinceNanos();
        boolean lasting = isolated && nanos > ISOLATION_LIMIT.toNanos();
        if (lasting && !isolationNoted) {
            setup.events().record(EventCode.GROUP_UNREACHABLE, scope, "no majority answers");
        }
        isolationNoted = lasting;
    }

    private void propose(
            Optional<InstanceId> replaced, Optional<InstanceId> preferred, String reason) {
        Term term = Promoter.termAbove(group.view().term(), setup.tags().getAsInt());
        setup.events().record(EventCode.PROMOTION_STARTED, scope, "term " + term + ": " + reason);
        handle(new PromotionEvent.Wanted(term, replaced, preferred));
    }

    private void handle(PromotionEvent event) {
        PromotionStep step = promoter.step(promotion, event, clock.nanoTime());
        promotion = step.state();
        step.actions().forEach(this::perform);
    }

    private void perform(PromotionAction action) {
        if (action instanceof PromotionAction.Promise a) {
            answer(a.term(), backends.get(a.instance()).promise(a.term(), CONTROL_TIMEOUT));
        } else if (action instanceof PromotionAction.Promote a) {
            answer(a.term(), backends.get(a.instance()).promote(a.term(), CONTROL_TIMEOUT));
        } else if (action instanceof PromotionAction.Follow a) {
            follow(a.instance(), a.term(), a.primary());
        } else if (action instanceof PromotionAction.Complete a) {
            complete(a);
        } else if (action instanceof PromotionAction.Abandon a) {
            abandon(a);
        }
    }

    private void answer(Term term, CompletionStage<Optional<Standing>> request) {
        long asked = clock.nanoTime();
        request.thenAcceptAsync(
                standing ->
                        standing.ifPresent(
                                s -> {
                                    group.see(s, asked);
                                    handle(new PromotionEvent.Answered(term, s));
                                }),
                duty);
    }

    private void follow(InstanceId instance, Term term, InstanceId next) {
        followed.put(instance, clock.nanoTime());
        long asked = clock.nanoTime();
        backends.get(instance)
                .follow(term, backends.get(next).spec(), CONTROL_TIMEOUT)
                .thenAcceptAsync(s -> s.ifPresent(x -> group.see(x, asked)), duty);
    }

    private void complete(PromotionAction.Complete action) {
        String detail = "term " + action.term() + ": " + action.primary();
        setup.events().record(EventCode.PROMOTION_COMPLETED, scope, detail);
        notePrimary();
        ordered.complete(true);
        String proposer = setup.events().vm().value();
        setup.announce()
                .accept(new Announcement(spec.id(), action.term(), action.primary(), proposer));
    }

    private void abandon(PromotionAction.Abandon action) {
        setup.events()
                .record(
                        EventCode.PROMOTION_ABANDONED,
                        scope,
                        "term " + action.term() + ": " + action.detail());
        long spread = Math.floorMod(action.term().number(), BACK_OFF.toMillis());
        int rank = setup.rank().rank(spec.id(), action.term());
        Duration wait = BACK_OFF.multipliedBy(rank + 1L).plusMillis(spread);
        proposeFromNanos = clock.nanoTime() + wait.toNanos();
        ordered.complete(false);
    }

    private void notePrimary() {
        Optional<InstanceId> now = group.view().primary().map(Standing::instance);
        if (!now.equals(primary)) {
            primary = now;
            String detail =
                    "term " + group.view().term() + ": " + now.map(Object::toString).orElse("none");
            setup.events().record(EventCode.PRIMARY_CHANGED, scope, detail);
        }
    }

    private void watch(Duration interval, long now) {
        boolean close = interval.equals(WatchPace.CLOSE);
        Optional<InstanceId> leader = group.view().primary().map(Standing::instance);
        for (Backend backend : backends.values()) {
            InstanceId id = backend.spec().id();
            boolean known = group.view().observed().containsKey(id);
            if (close || !known || leader.equals(Optional.of(id))) {
                poll(backend, interval, now);
            } else {
                await(backend, interval, now);
            }
        }
    }

    private void poll(Backend backend, Duration interval, long now) {
        InstanceId id = backend.spec().id();
        if (isOlder(id, interval, now) && polled.add(id)) {
            watch(backend, LogPosition.empty(), Duration.ZERO, now, () -> polled.remove(id));
        }
    }

    /** Lets a replica answer as soon as its log grows, so that reads find it in time. */
    private void await(Backend backend, Duration wait, long now) {
        InstanceId id = backend.spec().id();
        if (isOlder(id, WatchPace.ACTIVE, now) && awaited.add(id)) {
            LogPosition known = group.view().observed().get(id).standing().last();
            LogPosition next = new LogPosition(known.term(), known.offset() + 1);
            watch(backend, next, wait, now, () -> awaited.remove(id));
        }
    }

    private boolean isOlder(InstanceId id, Duration age, long now) {
        GroupView.Observation last = group.view().observed().get(id);
        return last == null || now - last.nanos() >= age.toNanos();
    }

    private void watch(
            Backend backend, LogPosition atLeast, Duration wait, long asked, Runnable whenDone) {
        backend.standing(atLeast, wait, wait.plus(ANSWER_TIMEOUT))
                .thenAcceptAsync(
                        standing -> {
                            whenDone.run();
                            standing.ifPresent(s -> group.see(s, asked));
                        },
                        duty);
    }

    /** Tells instances that came back, or were missed, to follow the primary. */
    private void rejoin(long now) {
        List<Sighting> sightings = group.view().sightings();
        Optional<Sighting> current = Detector.primary(sightings);
        if (current.isEmpty() || !(promotion instanceof PromotionState.Idle)) {
            return;
        }
        Standing leader = current.get().standing();
        long interval =
                FOLLOW_INTERVAL.toNanos() * (setup.rank().rank(spec.id(), leader.promised()) + 1L);
        sightings.stream()
                .map(Sighting::standing)
                .map(Standing::instance)
                .filter(id -> !id.equals(leader.instance()))
                .filter(id -> now - followed.getOrDefault(id, now - interval) >= interval)
                .filter(id -> needsFollow(id, leader.promised(), now))
                .forEach(id -> rejoin(id, leader));
    }

    private boolean needsFollow(InstanceId id, Term term, long now) {
        return Detector.needsFollow(group.view().observed().get(id).toSighting(), term, now);
    }

    private void rejoin(InstanceId id, Standing leader) {
        setup.events()
                .record(EventCode.INSTANCE_REJOINED, scope, id + " follows " + leader.instance());
        follow(id, leader.promised(), leader.instance());
    }
}
