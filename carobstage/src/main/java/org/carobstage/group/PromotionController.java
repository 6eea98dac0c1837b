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

/**
 * Monitors the instances of a group and executes the actions of the failure detector and of the
 * promotion state machine.
 */
final class PromotionController {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration STATUS_TIMEOUT = Duration.ofMillis(100);
    private static final Duration CONTROL_TIMEOUT = Duration.ofMillis(250);
    private static final Duration FOLLOW_INTERVAL = Duration.ofMillis(300);
    private static final Duration PROPOSAL_BACKOFF = Duration.ofMillis(100);
    private static final Duration ISOLATION_REPORT_DELAY = Duration.ofSeconds(2);
    private static final Duration SWITCH_TIMEOUT = Duration.ofSeconds(2);

    private final Group group;
    private final GroupSpec spec;
    private final Map<InstanceId, Backend> backends;
    private final BooleanSupplier hasOutstandingRequests;
    private final PromotionContext context;
    private final Clock clock;
    private final Executor executor;
    private final PrimaryFailureDetector detector;
    private final PromotionStateMachine stateMachine;
    private final EventScope scope;
    private final Set<InstanceId> pendingPolls = new HashSet<>();
    private final Set<InstanceId> pendingLongPolls = new HashSet<>();
    private final Map<InstanceId, Long> lastFollowNanos = new HashMap<>();
    private FailureDetectorState detectorState;
    private PromotionState promotionState = new PromotionState.Idle();
    private CompletableFuture<Boolean> switchResult = CompletableFuture.completedFuture(false);
    private Optional<InstanceId> primary = Optional.empty();
    private long nextProposalNanos;
    private long lastActivityNanos;
    private boolean isolationRecorded;
    private volatile boolean closed;

    PromotionController(
            Group group,
            Map<InstanceId, Backend> backends,
            BooleanSupplier hasOutstandingRequests,
            PromotionContext context,
            Clock clock,
            Executor executor) {
        this.group = group;
        this.spec = group.view().spec();
        this.backends = backends;
        this.hasOutstandingRequests = hasOutstandingRequests;
        this.context = requireNonNull(context, "context is null");
        this.clock = clock;
        this.executor = executor;
        this.detector = PrimaryFailureDetector.of(spec);
        this.stateMachine = PromotionStateMachine.of(spec);
        this.scope = EventScope.of(spec.id());
        this.detectorState = FailureDetectorState.startingAt(clock.nanoTime());
        this.nextProposalNanos = clock.nanoTime();
        this.lastActivityNanos = clock.nanoTime();
    }

    void start() {
        executor.execute(this::tick);
    }

    void close() {
        closed = true;
    }

    /** Records the time of the last statement, on which the status poll interval depends. */
    void recordActivity() {
        lastActivityNanos = clock.nanoTime();
    }

    /** Replaces a serving primary by another instance, once that instance has caught up. */
    CompletionStage<Boolean> switchPrimary(InstanceId target) {
        return CompletableFuture.supplyAsync(() -> startSwitch(target), executor)
                .thenCompose(Function.identity());
    }

    private CompletionStage<Boolean> startSwitch(InstanceId target) {
        Optional<ReplicationStatus> current = group.view().primary();
        boolean canSwitch =
                current.isPresent()
                        && backends.containsKey(target)
                        && !current.get().instance().equals(target)
                        && promotionState instanceof PromotionState.Idle;
        if (!canSwitch) {
            return CompletableFuture.completedFuture(false);
        }
        return fetchStatus(current.get().instance(), LogPosition.empty(), Duration.ZERO)
                .thenComposeAsync(status -> awaitCatchUp(target, status), executor)
                .thenComposeAsync(caughtUp -> proposeSwitch(target, caughtUp), executor);
    }

    private CompletionStage<Optional<ReplicationStatus>> fetchStatus(
            InstanceId instance, LogPosition atLeast, Duration wait) {
        return backends.get(instance).fetchStatus(atLeast, wait, wait.plus(CONTROL_TIMEOUT));
    }

    private CompletionStage<Optional<ReplicationStatus>> awaitCatchUp(
            InstanceId target, Optional<ReplicationStatus> current) {
        return current.map(s -> fetchStatus(target, s.lastPosition(), SWITCH_TIMEOUT))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()))
                .thenApply(
                        s ->
                                s.filter(
                                        n ->
                                                n.lastPosition()
                                                        .isAtLeast(current.get().lastPosition())));
    }

    private CompletionStage<Boolean> proposeSwitch(
            InstanceId target, Optional<ReplicationStatus> caughtUp) {
        Optional<InstanceId> oldPrimary = group.view().primary().map(ReplicationStatus::instance);
        if (caughtUp.isEmpty() || !(promotionState instanceof PromotionState.Idle)) {
            return CompletableFuture.completedFuture(false);
        }
        switchResult = new CompletableFuture<>();
        propose(
                oldPrimary.filter(id -> !id.equals(target)),
                Optional.of(target),
                "planned switchover");
        return switchResult.thenApply(
                completed -> completed && primary.equals(Optional.of(target)));
    }

    private void tick() {
        if (closed) {
            return;
        }
        clock.schedule(() -> executor.execute(this::tick), TICK_INTERVAL);
        long nowNanos = clock.nanoTime();
        if (nowNanos - detectorState.lastTickNanos()
                > PrimaryFailureDetector.PAUSE_THRESHOLD.toNanos()) {
            context.events()
                    .record(
                            EventCode.PAUSE_NOTICED,
                            scope,
                            "observations before the pause are discarded");
        }
        Collection<InstanceObservation> observations = group.view().instanceObservations();
        Duration idleTime = Duration.ofNanos(nowNanos - lastActivityNanos);
        Duration interval =
                StatusPollInterval.interval(
                        spec,
                        observations,
                        idleTime,
                        hasOutstandingRequests.getAsBoolean(),
                        nowNanos);
        detect(observations, nowNanos);
        recordIsolation(interval.equals(StatusPollInterval.SUSPECT_INTERVAL), nowNanos);
        handle(new PromotionEvent.Tick());
        recordPrimaryChange();
        requestStatuses(interval, nowNanos);
        rejoinInstances(nowNanos);
    }

    private void detect(Collection<InstanceObservation> observations, long nowNanos) {
        detectorState = detector.nextState(detectorState, observations, nowNanos);
        int rank = context.proposerRanking().rank(spec.id(), detectorState.highestPromisedTerm());
        boolean idle = promotionState instanceof PromotionState.Idle;
        if (idle
                && nowNanos - nextProposalNanos >= 0
                && detector.shouldPropose(detectorState, rank, nowNanos)) {
            PrimaryHealth health = detectorState.health();
            context.events()
                    .record(EventCode.PRIMARY_SUSPECTED, scope, health + " " + observations);
            Optional<InstanceId> replaced =
                    health == PrimaryHealth.VACANT
                            ? Optional.empty()
                            : group.view().primary().map(ReplicationStatus::instance);
            propose(replaced, Optional.empty(), health.toString());
        }
    }

    private void recordIsolation(boolean isSuspectInterval, long nowNanos) {
        boolean isolated = isSuspectInterval && detectorState.health() == PrimaryHealth.ISOLATED;
        long isolatedNanos = nowNanos - detectorState.healthSinceNanos();
        boolean isReportable = isolated && isolatedNanos > ISOLATION_REPORT_DELAY.toNanos();
        if (isReportable && !isolationRecorded) {
            context.events().record(EventCode.GROUP_UNREACHABLE, scope, "no majority responds");
        }
        isolationRecorded = isReportable;
    }

    private void propose(
            Optional<InstanceId> replaced, Optional<InstanceId> preferred, String reason) {
        Term term =
                PromotionStateMachine.nextTerm(
                        group.view().highestTerm(), context.tagSource().getAsInt());
        context.events().record(EventCode.PROMOTION_STARTED, scope, "term " + term + ": " + reason);
        handle(new PromotionEvent.PromotionRequested(term, replaced, preferred));
    }

    private void handle(PromotionEvent event) {
        PromotionTransition transition =
                stateMachine.transition(promotionState, event, clock.nanoTime());
        promotionState = transition.state();
        transition.actions().forEach(this::perform);
    }

    private void perform(PromotionAction action) {
        if (action instanceof PromotionAction.Promise a) {
            handleResponse(a.term(), backends.get(a.instance()).promise(a.term(), CONTROL_TIMEOUT));
        } else if (action instanceof PromotionAction.Promote a) {
            handleResponse(a.term(), backends.get(a.instance()).promote(a.term(), CONTROL_TIMEOUT));
        } else if (action instanceof PromotionAction.Follow a) {
            follow(a.instance(), a.term(), a.primary());
        } else if (action instanceof PromotionAction.Complete a) {
            complete(a);
        } else if (action instanceof PromotionAction.Abandon a) {
            abandon(a);
        }
    }

    private void handleResponse(Term term, CompletionStage<Optional<ReplicationStatus>> response) {
        long requestedAtNanos = clock.nanoTime();
        response.thenAcceptAsync(
                status ->
                        status.ifPresent(
                                s -> {
                                    group.updateView(s, requestedAtNanos);
                                    handle(new PromotionEvent.ResponseReceived(term, s));
                                }),
                executor);
    }

    private void follow(InstanceId instance, Term term, InstanceId newPrimary) {
        lastFollowNanos.put(instance, clock.nanoTime());
        long requestedAtNanos = clock.nanoTime();
        backends.get(instance)
                .follow(term, backends.get(newPrimary).spec(), CONTROL_TIMEOUT)
                .thenAcceptAsync(
                        status -> status.ifPresent(s -> group.updateView(s, requestedAtNanos)),
                        executor);
    }

    private void complete(PromotionAction.Complete action) {
        String detail = "term " + action.term() + ": " + action.primary();
        context.events().record(EventCode.PROMOTION_COMPLETED, scope, detail);
        recordPrimaryChange();
        switchResult.complete(true);
        String proposer = context.events().vm().value();
        context.announcer()
                .accept(
                        new PromotionAnnouncement(
                                spec.id(), action.term(), action.primary(), proposer));
    }

    private void abandon(PromotionAction.Abandon action) {
        context.events()
                .record(
                        EventCode.PROMOTION_ABANDONED,
                        scope,
                        "term " + action.term() + ": " + action.detail());
        long spread = Math.floorMod(action.term().number(), PROPOSAL_BACKOFF.toMillis());
        int rank = context.proposerRanking().rank(spec.id(), action.term());
        Duration wait = PROPOSAL_BACKOFF.multipliedBy(rank + 1L).plusMillis(spread);
        nextProposalNanos = clock.nanoTime() + wait.toNanos();
        switchResult.complete(false);
    }

    private void recordPrimaryChange() {
        Optional<InstanceId> current = group.view().primary().map(ReplicationStatus::instance);
        if (!current.equals(primary)) {
            primary = current;
            String detail =
                    "term "
                            + group.view().highestTerm()
                            + ": "
                            + current.map(Object::toString).orElse("none");
            context.events().record(EventCode.PRIMARY_CHANGED, scope, detail);
        }
    }

    private void requestStatuses(Duration interval, long nowNanos) {
        boolean isSuspectInterval = interval.equals(StatusPollInterval.SUSPECT_INTERVAL);
        Optional<InstanceId> currentPrimary =
                group.view().primary().map(ReplicationStatus::instance);
        for (Backend backend : backends.values()) {
            InstanceId id = backend.spec().id();
            boolean known = group.view().observations().containsKey(id);
            if (isSuspectInterval || !known || currentPrimary.equals(Optional.of(id))) {
                poll(backend, interval, nowNanos);
            } else {
                longPoll(backend, interval, nowNanos);
            }
        }
    }

    private void poll(Backend backend, Duration interval, long nowNanos) {
        InstanceId id = backend.spec().id();
        if (isObservationOlderThan(id, interval, nowNanos) && pendingPolls.add(id)) {
            requestStatus(
                    backend,
                    LogPosition.empty(),
                    Duration.ZERO,
                    nowNanos,
                    () -> pendingPolls.remove(id));
        }
    }

    /** Sends a long poll that returns when the log grows, so that reads see fresh replicas. */
    private void longPoll(Backend backend, Duration wait, long nowNanos) {
        InstanceId id = backend.spec().id();
        if (isObservationOlderThan(id, StatusPollInterval.ACTIVE_INTERVAL, nowNanos)
                && pendingLongPolls.add(id)) {
            LogPosition lastPosition = group.view().observations().get(id).status().lastPosition();
            LogPosition next = new LogPosition(lastPosition.term(), lastPosition.offset() + 1);
            requestStatus(backend, next, wait, nowNanos, () -> pendingLongPolls.remove(id));
        }
    }

    private boolean isObservationOlderThan(InstanceId id, Duration age, long nowNanos) {
        GroupView.Observation last = group.view().observations().get(id);
        return last == null || nowNanos - last.requestedAtNanos() >= age.toNanos();
    }

    private void requestStatus(
            Backend backend,
            LogPosition atLeast,
            Duration wait,
            long requestedAtNanos,
            Runnable onDone) {
        backend.fetchStatus(atLeast, wait, wait.plus(STATUS_TIMEOUT))
                .thenAcceptAsync(
                        status -> {
                            onDone.run();
                            status.ifPresent(s -> group.updateView(s, requestedAtNanos));
                        },
                        executor);
    }

    /** Requests that instances follow the primary if they recovered or missed the promotion. */
    private void rejoinInstances(long nowNanos) {
        List<InstanceObservation> observations = group.view().instanceObservations();
        Optional<InstanceObservation> current = PrimaryFailureDetector.findPrimary(observations);
        if (current.isEmpty() || !(promotionState instanceof PromotionState.Idle)) {
            return;
        }
        ReplicationStatus primaryStatus = current.get().status();
        long interval =
                FOLLOW_INTERVAL.toNanos()
                        * (context.proposerRanking().rank(spec.id(), primaryStatus.promisedTerm())
                                + 1L);
        observations.stream()
                .map(InstanceObservation::status)
                .map(ReplicationStatus::instance)
                .filter(id -> !id.equals(primaryStatus.instance()))
                .filter(
                        id ->
                                nowNanos - lastFollowNanos.getOrDefault(id, nowNanos - interval)
                                        >= interval)
                .filter(id -> needsFollow(id, primaryStatus.promisedTerm(), nowNanos))
                .forEach(id -> rejoin(id, primaryStatus));
    }

    private boolean needsFollow(InstanceId id, Term term, long nowNanos) {
        return PrimaryFailureDetector.needsFollowRequest(
                group.view().observations().get(id).toInstanceObservation(), term, nowNanos);
    }

    private void rejoin(InstanceId id, ReplicationStatus primaryStatus) {
        context.events()
                .record(
                        EventCode.INSTANCE_REJOINED,
                        scope,
                        id + " follows " + primaryStatus.instance());
        follow(id, primaryStatus.promisedTerm(), primaryStatus.instance());
    }
}
