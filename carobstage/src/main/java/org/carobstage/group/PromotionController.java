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
import java.util.function.Function;
import org.carobstage.backend.Backend;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.promotion.FailureDetectorState;
import org.carobstage.promotion.InstanceObservation;
import org.carobstage.promotion.PrimaryFailureDetector;
import org.carobstage.promotion.PrimaryHealth;
import org.carobstage.promotion.PromotionAction;
import org.carobstage.promotion.PromotionAnnouncement;
import org.carobstage.promotion.PromotionContext;
import org.carobstage.promotion.PromotionEvent;
import org.carobstage.promotion.PromotionState;
import org.carobstage.promotion.PromotionStateMachine;
import org.carobstage.promotion.PromotionTransition;
import org.carobstage.promotion.StatusPollInterval;
import org.carobstage.runtime.Clock;

/** Watches the instances of a group and carries out what detector and promoter decide. */
final class PromotionController {
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
    private final PromotionContext setup;
    private final Clock clock;
    private final Executor duty;
    private final PrimaryFailureDetector detector;
    private final PromotionStateMachine promoter;
    private final EventScope scope;
    private final Set<InstanceId> polled = new HashSet<>();
    private final Set<InstanceId> awaited = new HashSet<>();
    private final Map<InstanceId, Long> followed = new HashMap<>();
    private FailureDetectorState detection;
    private PromotionState promotion = new PromotionState.Idle();
    private CompletableFuture<Boolean> ordered = CompletableFuture.completedFuture(false);
    private Optional<InstanceId> primary = Optional.empty();
    private long proposeFromNanos;
    private long activeNanos;
    private boolean isolationNoted;
    private volatile boolean closed;

    PromotionController(
            Group group,
            Map<InstanceId, Backend> backends,
            BooleanSupplier waiting,
            PromotionContext setup,
            Clock clock,
            Executor duty) {
        this.group = group;
        this.spec = group.view().spec();
        this.backends = backends;
        this.waiting = waiting;
        this.setup = requireNonNull(setup, "setup is null");
        this.clock = clock;
        this.duty = duty;
        this.detector = PrimaryFailureDetector.of(spec);
        this.promoter = PromotionStateMachine.of(spec);
        this.scope = EventScope.of(spec.id());
        this.detection = FailureDetectorState.startingAt(clock.nanoTime());
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
    void recordActivity() {
        activeNanos = clock.nanoTime();
    }

    /** Replaces a primary that serves by another instance, once that has caught up. */
    CompletionStage<Boolean> switchPrimary(InstanceId next) {
        return CompletableFuture.supplyAsync(() -> startSwitch(next), duty)
                .thenCompose(Function.identity());
    }

    private CompletionStage<Boolean> startSwitch(InstanceId next) {
        Optional<ReplicationStatus> current = group.view().primary();
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

    private CompletionStage<Optional<ReplicationStatus>> ask(
            InstanceId instance, LogPosition atLeast, Duration wait) {
        return backends.get(instance).fetchStatus(atLeast, wait, wait.plus(CONTROL_TIMEOUT));
    }

    private CompletionStage<Optional<ReplicationStatus>> catchUp(
            InstanceId next, Optional<ReplicationStatus> current) {
        return current.map(s -> ask(next, s.lastPosition(), SWITCH_TIMEOUT))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()))
                .thenApply(
                        s ->
                                s.filter(
                                        n ->
                                                n.lastPosition()
                                                        .isAtLeast(current.get().lastPosition())));
    }

    private CompletionStage<Boolean> order(InstanceId next, Optional<ReplicationStatus> ready) {
        Optional<InstanceId> old = group.view().primary().map(ReplicationStatus::instance);
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
        if (now - detection.lastTickNanos() > PrimaryFailureDetector.PAUSE_THRESHOLD.toNanos()) {
            setup.events().record(EventCode.PAUSE_NOTICED, scope, "observations dropped");
        }
        Collection<InstanceObservation> sightings = group.view().instanceObservations();
        Duration quiet = Duration.ofNanos(now - activeNanos);
        Duration interval =
                StatusPollInterval.interval(spec, sightings, quiet, waiting.getAsBoolean(), now);
        detect(sightings, now);
        noteIsolation(interval.equals(StatusPollInterval.SUSPECT_INTERVAL), now);
        handle(new PromotionEvent.Tick());
        notePrimary();
        watch(interval, now);
        rejoin(now);
    }

    private void detect(Collection<InstanceObservation> sightings, long now) {
        detection = detector.nextState(detection, sightings, now);
        int rank = setup.proposerRanking().rank(spec.id(), detection.highestPromisedTerm());
        boolean idle = promotion instanceof PromotionState.Idle;
        if (idle && now - proposeFromNanos >= 0 && detector.shouldPropose(detection, rank, now)) {
            PrimaryHealth condition = detection.health();
            setup.events().record(EventCode.PRIMARY_SUSPECTED, scope, condition + " " + sightings);
            Optional<InstanceId> replaced =
                    condition == PrimaryHealth.VACANT
                            ? Optional.empty()
                            : group.view().primary().map(ReplicationStatus::instance);
            propose(replaced, Optional.empty(), condition.toString());
        }
    }

    private void noteIsolation(boolean close, long now) {
        boolean isolated = close && detection.health() == PrimaryHealth.ISOLATED;
        long nanos = now - detection.healthSinceNanos();
        boolean lasting = isolated && nanos > ISOLATION_LIMIT.toNanos();
        if (lasting && !isolationNoted) {
            setup.events().record(EventCode.GROUP_UNREACHABLE, scope, "no majority answers");
        }
        isolationNoted = lasting;
    }

    private void propose(
            Optional<InstanceId> replaced, Optional<InstanceId> preferred, String reason) {
        Term term =
                PromotionStateMachine.nextTerm(
                        group.view().highestTerm(), setup.tagSource().getAsInt());
        setup.events().record(EventCode.PROMOTION_STARTED, scope, "term " + term + ": " + reason);
        handle(new PromotionEvent.PromotionRequested(term, replaced, preferred));
    }

    private void handle(PromotionEvent event) {
        PromotionTransition step = promoter.transition(promotion, event, clock.nanoTime());
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

    private void answer(Term term, CompletionStage<Optional<ReplicationStatus>> request) {
        long asked = clock.nanoTime();
        request.thenAcceptAsync(
                standing ->
                        standing.ifPresent(
                                s -> {
                                    group.updateView(s, asked);
                                    handle(new PromotionEvent.ResponseReceived(term, s));
                                }),
                duty);
    }

    private void follow(InstanceId instance, Term term, InstanceId next) {
        followed.put(instance, clock.nanoTime());
        long asked = clock.nanoTime();
        backends.get(instance)
                .follow(term, backends.get(next).spec(), CONTROL_TIMEOUT)
                .thenAcceptAsync(s -> s.ifPresent(x -> group.updateView(x, asked)), duty);
    }

    private void complete(PromotionAction.Complete action) {
        String detail = "term " + action.term() + ": " + action.primary();
        setup.events().record(EventCode.PROMOTION_COMPLETED, scope, detail);
        notePrimary();
        ordered.complete(true);
        String proposer = setup.events().vm().value();
        setup.announcer()
                .accept(
                        new PromotionAnnouncement(
                                spec.id(), action.term(), action.primary(), proposer));
    }

    private void abandon(PromotionAction.Abandon action) {
        setup.events()
                .record(
                        EventCode.PROMOTION_ABANDONED,
                        scope,
                        "term " + action.term() + ": " + action.detail());
        long spread = Math.floorMod(action.term().number(), BACK_OFF.toMillis());
        int rank = setup.proposerRanking().rank(spec.id(), action.term());
        Duration wait = BACK_OFF.multipliedBy(rank + 1L).plusMillis(spread);
        proposeFromNanos = clock.nanoTime() + wait.toNanos();
        ordered.complete(false);
    }

    private void notePrimary() {
        Optional<InstanceId> now = group.view().primary().map(ReplicationStatus::instance);
        if (!now.equals(primary)) {
            primary = now;
            String detail =
                    "term "
                            + group.view().highestTerm()
                            + ": "
                            + now.map(Object::toString).orElse("none");
            setup.events().record(EventCode.PRIMARY_CHANGED, scope, detail);
        }
    }

    private void watch(Duration interval, long now) {
        boolean close = interval.equals(StatusPollInterval.SUSPECT_INTERVAL);
        Optional<InstanceId> leader = group.view().primary().map(ReplicationStatus::instance);
        for (Backend backend : backends.values()) {
            InstanceId id = backend.spec().id();
            boolean known = group.view().observations().containsKey(id);
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
        if (isOlder(id, StatusPollInterval.ACTIVE_INTERVAL, now) && awaited.add(id)) {
            LogPosition known = group.view().observations().get(id).status().lastPosition();
            LogPosition next = new LogPosition(known.term(), known.offset() + 1);
            watch(backend, next, wait, now, () -> awaited.remove(id));
        }
    }

    private boolean isOlder(InstanceId id, Duration age, long now) {
        GroupView.Observation last = group.view().observations().get(id);
        return last == null || now - last.requestedAtNanos() >= age.toNanos();
    }

    private void watch(
            Backend backend, LogPosition atLeast, Duration wait, long asked, Runnable whenDone) {
        backend.fetchStatus(atLeast, wait, wait.plus(ANSWER_TIMEOUT))
                .thenAcceptAsync(
                        standing -> {
                            whenDone.run();
                            standing.ifPresent(s -> group.updateView(s, asked));
                        },
                        duty);
    }

    /** Tells instances that came back, or were missed, to follow the primary. */
    private void rejoin(long now) {
        List<InstanceObservation> sightings = group.view().instanceObservations();
        Optional<InstanceObservation> current = PrimaryFailureDetector.findPrimary(sightings);
        if (current.isEmpty() || !(promotion instanceof PromotionState.Idle)) {
            return;
        }
        ReplicationStatus leader = current.get().status();
        long interval =
                FOLLOW_INTERVAL.toNanos()
                        * (setup.proposerRanking().rank(spec.id(), leader.promisedTerm()) + 1L);
        sightings.stream()
                .map(InstanceObservation::status)
                .map(ReplicationStatus::instance)
                .filter(id -> !id.equals(leader.instance()))
                .filter(id -> now - followed.getOrDefault(id, now - interval) >= interval)
                .filter(id -> needsFollow(id, leader.promisedTerm(), now))
                .forEach(id -> rejoin(id, leader));
    }

    private boolean needsFollow(InstanceId id, Term term, long now) {
        return PrimaryFailureDetector.needsFollowRequest(
                group.view().observations().get(id).toInstanceObservation(), term, now);
    }

    private void rejoin(InstanceId id, ReplicationStatus leader) {
        setup.events()
                .record(EventCode.INSTANCE_REJOINED, scope, id + " follows " + leader.instance());
        follow(id, leader.promisedTerm(), leader.instance());
    }
}
