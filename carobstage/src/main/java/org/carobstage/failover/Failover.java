package org.carobstage.failover;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.event.EventCode;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.Statement;
import org.carobstage.store.StoreResponse;
import org.carobstage.upstream.ServiceGroup;

/**
 * One failover of a service, run by this process. It pauses replication at a new term, so that no
 * commit is acknowledged by a replica that is not promoted. The target receives again before its
 * promotion is requested, since the restart of another replica ends the pause there. If the old
 * primary still serves, the target is not paused at all.
 */
final class Failover {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(40);

    /** Processes that observe the failover stop their writes and vote within a few ticks. */
    private static final Duration WRITER_FENCE_TIMEOUT = Duration.ofMillis(400);

    private static final Duration PAUSE_RENEWAL_INTERVAL = Duration.ofMillis(100);

    private static final Duration WRITER_FENCE_POLL_INTERVAL = Duration.ofMillis(10);

    /** Allows each instance to process its full request queue a few times. */
    private static final Duration PAUSE_TIMEOUT = Duration.ofMillis(700);

    /** Time for the target to reach the newest position of the paused replicas. */
    private static final Duration CATCH_UP_TIMEOUT = Duration.ofMillis(1_500);

    /** A promotion without effect is requested again at this interval, of the same instance. */
    private static final Duration PROMOTION_RETRY_INTERVAL = Duration.ofMillis(2_500);

    /** The delay before a request that the platform did not accept or receive is sent again. */
    private static final Duration REFUSED_RETRY_DELAY = Duration.ofMillis(200);

    /** A platform that accepts no request of this process may accept those of another one. */
    private static final Duration TURNED_AWAY_TIMEOUT = Duration.ofMillis(4_000);

    /** The delay before a record that the store did not confirm is written again. */
    private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(100);

    private final FailoverContext context;
    private final ServiceGroup group;
    private final InstanceId oldPrimary;
    private final boolean planned;
    private final FailoverLease lease;
    private final long fencingToken;
    private final PromotionRecord record;
    private final Optional<PendingPromotion> pending;
    private final Optional<InstanceId> pendingTarget;
    private final FailoverEvidence evidence;
    private final Consumer<Outcome> onEnded;
    private final long startedNanos;
    private final ReplicaPauses pauses;
    private final TargetReplication targetReplication;
    private final ReplicaLogs logs;
    private final TargetSelection selection;
    private final PlannedSuccessor successor;
    private Optional<InstanceId> target = Optional.empty();
    private long pauseStartedNanos;
    private long chosenNanos;
    private long promotionRequestedNanos;

    /** Whether the target of an earlier request receives while it is compared with the others. */
    private boolean pendingTargetReceives;

    private boolean targetReceiving;
    private boolean promotionRequested;
    private boolean hasUnansweredRequest;
    private boolean turnedAway;
    private boolean ended;

    Failover(
            FailoverContext context,
            ServiceGroup group,
            InstanceId oldPrimary,
            boolean planned,
            FailoverLease lease,
            PromotionRecord record,
            FailoverEvidence evidence,
            Consumer<Outcome> onEnded) {
        this.context = context;
        this.group = group;
        this.oldPrimary = oldPrimary;
        this.planned = planned;
        this.lease = lease;
        this.fencingToken = lease.fencingToken();
        this.record = record;
        this.pending = record.pending();
        this.pendingTarget = pending.map(PendingPromotion::target);
        this.evidence = evidence;
        this.onEnded = onEnded;
        this.startedNanos = context.clock().nanoTime();
        this.pauses = new ReplicaPauses(context, group);
        this.targetReplication = new TargetReplication(group, lease);
        this.logs = new ReplicaLogs(group, oldPrimary, pauses, targetReplication);
        this.selection = new TargetSelection(context, group, logs, evidence, pendingTarget);
        this.successor = new PlannedSuccessor(group, oldPrimary, targetReplication);
    }

    void start() {
        if (planned) {
            target = successor.select(logs.replicas());
            if (target.isEmpty()) {
                abandon("no replica is available as successor");
                return;
            }
        }
        context.record(
                EventCode.PROMOTION_STARTED,
                group.name(),
                "old="
                        + oldPrimary
                        + " planned="
                        + planned
                        + " term="
                        + pauses.term()
                        + " fence="
                        + fencingToken);
        awaitEarlierPermits();
    }

    /**
     * Waits until no request of an earlier holder can arrive any more, if the platform would
     * execute it after the request of this one.
     */
    private void awaitEarlierPermits() {
        Duration left =
                isEarlierHolderRecorded() && !context.fencingEnforced()
                        ? PromotionPermit.VALIDITY
                                .plus(PromotionPermit.TRANSIT_TIME)
                                .minus(elapsedSince(lease.acquiredNanos()))
                        : Duration.ZERO;
        if (left.compareTo(Duration.ZERO) > 0) {
            context.clock().schedule(this::awaitEarlierPermits, left);
        } else if (planned) {
            startPausing();
        } else {
            awaitFencedWriters();
        }
    }

    private boolean isEarlierHolderRecorded() {
        return pending.filter(p -> p.fencingToken() != fencingToken).isPresent();
    }

    /**
     * Waits until no process sends writes to the old primary, which may still respond to some.
     * Their last commits reach the replicas before these are paused. Without all votes, the
     * failover relies on the pause of every replica.
     */
    private void awaitFencedWriters() {
        if (evidence.areAllWritersFenced()
                || elapsedSince(startedNanos).compareTo(WRITER_FENCE_TIMEOUT) > 0) {
            startPausing();
        } else {
            context.clock().schedule(this::awaitFencedWriters, WRITER_FENCE_POLL_INTERVAL);
        }
    }

    /** Leaves the target of a request that may still be executed unpaused, if it responds. */
    private void startPausing() {
        pauseStartedNanos = context.clock().nanoTime();
        pendingTargetReceives =
                !planned
                        && pendingTarget
                                .filter(logs::isRegistered)
                                .filter(id -> !group.isSuspected(id))
                                .isPresent();
        pauseReplicas();
    }

    private List<InstanceId> replicasToPause() {
        return logs.idsExcept(receivingReplica());
    }

    /** Returns the replica that is compared with the others while it receives. */
    private Optional<InstanceId> receivingReplica() {
        return planned ? target : pendingTarget.filter(id -> pendingTargetReceives);
    }

    private void pauseReplicas() {
        if (ended) {
            return;
        }
        List<InstanceId> replicaIds = replicasToPause();
        pauses.request(replicaIds);
        pendingTarget.filter(id -> pendingTargetReceives).ifPresent(targetReplication::query);
        boolean timedOut = elapsedSince(pauseStartedNanos).compareTo(PAUSE_TIMEOUT) > 0;
        boolean behind =
                pendingTargetReceives && !targetReplication.isReceivingFrom(newestOfOthers());
        boolean compared = !behind && (timedOut || pauses.areAllPaused(replicaIds));
        if (compared || isPrimaryReplaced()) {
            selectTarget();
        } else {
            if (timedOut) {
                pendingTargetReceives = false;
                pauseStartedNanos = context.clock().nanoTime();
            }
            context.clock().schedule(this::pauseReplicas, POLL_INTERVAL);
        }
    }

    private void selectTarget() {
        if (planned) {
            awaitSuccessorCatchUp();
            return;
        }
        if (pendingTarget.isEmpty()
                && !group.isSuspected(oldPrimary)
                && group.leadership().isLeader(oldPrimary)) {
            abandon("the old primary responds again");
            return;
        }
        if (isPrimaryReplaced()) {
            abandon("the primary has already been replaced");
            return;
        }
        target = selection.select(receivingReplica());
        if (target.isEmpty()) {
            abandon("no replica is known to hold every acknowledged commit");
        } else {
            chosenNanos = context.clock().nanoTime();
            renewPauses();
            awaitReceivingTarget();
        }
    }

    /**
     * Waits until the target receives what the old primary still commits. A replica that restarts
     * is not paused, so the old primary acknowledges what it confirms until it is paused again.
     */
    private void awaitReceivingTarget() {
        if (ended || targetReceiving) {
            return;
        }
        if (!lease.isHeld()) {
            abandon("the lease ended before the target received again");
        } else if (elapsedSince(chosenNanos).compareTo(CATCH_UP_TIMEOUT) > 0) {
            abandon("the target did not confirm in time that it receives");
        } else {
            targetReplication.query(target.orElseThrow(), this::onTargetStatus);
            context.clock().schedule(this::awaitReceivingTarget, POLL_INTERVAL);
        }
    }

    private void onTargetStatus() {
        if (!ended && !targetReceiving && targetReplication.isReceivingFrom(newestOfOthers())) {
            targetReceiving = true;
            context.record(
                    EventCode.REPLICA_RESUMED,
                    group.name(),
                    "instance=" + target.get() + " newest_of_others=" + newestOfOthers());
            recordPromotion();
        }
    }

    private LogPosition newestOfOthers() {
        return logs.newestPaused(
                replicasToPause().stream().filter(id -> !target.equals(Optional.of(id))).toList());
    }

    private void awaitSuccessorCatchUp() {
        if (ended) {
            return;
        }
        if (!lease.isHeld()) {
            abandon("the lease ended before the successor had caught up");
            return;
        }
        List<InstanceId> others = replicasToPause();
        if (!pauses.areAllPaused(others)) {
            abandon("not every other replica paused replication in time");
            return;
        }
        if (!evidence.absentReplicas().isEmpty()) {
            abandon("replicas that cannot be paused: " + evidence.absentReplicas());
            return;
        }
        LogPosition newest = newestOfOthers();
        if (successor.hasCaughtUp(newest)) {
            context.record(
                    EventCode.FAILOVER_CHOICE,
                    group.name(),
                    "target=" + target.get() + " newest=" + newest + " stopped=" + others);
            recordPromotion();
        } else if (elapsedSince(pauseStartedNanos).compareTo(CATCH_UP_TIMEOUT) > 0) {
            abandon("the successor did not catch up in time");
        } else {
            successor.query(target.orElseThrow());
            context.clock().schedule(this::awaitSuccessorCatchUp, POLL_INTERVAL);
        }
    }

    /** Records the request, so that a later holder knows what may still be executed. */
    private void recordPromotion() {
        if (ended) {
            return;
        }
        InstanceId promoted = target.orElseThrow();
        boolean otherPending = pendingTarget.filter(p -> !p.equals(promoted)).isPresent();
        if (otherPending && !(context.fencingEnforced() && lease.hasNewToken())) {
            abandon("a request to promote " + pendingTarget.get() + " may still be executed");
        } else if (isOtherRequestKnown()) {
            abandon("the request of an earlier holder has become known: " + record.pending());
        } else {
            boolean unanswered =
                    hasUnansweredRequest
                            || pending.filter(PendingPromotion::unanswered).isPresent();
            record.write(lease, promoted, unanswered, this::onPromotionRecorded);
        }
    }

    /** Returns whether the watch has delivered another holder's request since the start. */
    private boolean isOtherRequestKnown() {
        return record.pending()
                .filter(p -> p.fencingToken() != fencingToken)
                .filter(p -> !pending.equals(Optional.of(p)))
                .isPresent();
    }

    private void onPromotionRecorded(StoreResponse<PromotionPermit> response) {
        if (response instanceof StoreResponse.Success<PromotionPermit> success) {
            requestPromotion(success.value());
        } else if (response instanceof StoreResponse.Mismatch<PromotionPermit> || !lease.isHeld()) {
            abandon("the promotion request could not be recorded: " + response);
        } else {
            context.clock().schedule(this::recordPromotion, STORE_RETRY_DELAY);
        }
    }

    private void requestPromotion(PromotionPermit permit) {
        if (ended) {
            return;
        }
        if (planned && !promotionRequested) {
            renewPauses();
        }
        if (!lease.isHeld()) {
            end("the lease ended before the promotion, unanswered=" + hasUnansweredRequest);
            return;
        }
        promotionRequested = true;
        promotionRequestedNanos = context.clock().nanoTime();
        InstanceId promoted = target.orElseThrow();
        context.record(
                EventCode.PROMOTION_REQUESTED,
                group.name(),
                "target="
                        + promoted
                        + " fence="
                        + fencingToken
                        + " lease_age_ms="
                        + lease.age().toMillis()
                        + " permit_ms="
                        + permit.timeLeft().toMillis());
        context.promotionClient()
                .promote(
                        new PromotionRequest(
                                group.name(), promoted, context.vm(), fencingToken, permit),
                        this::onPromotionOutcome);
    }

    /**
     * Pauses replicas that have restarted or registered since the choice. A holder whose lease has
     * ended leaves them to the next one.
     */
    private void renewPauses() {
        if (ended || isPromoted()) {
            return;
        }
        if (!lease.isHeld()) {
            pauses.end();
            return;
        }
        pauses.renew(
                replicasToPause().stream().filter(id -> !target.equals(Optional.of(id))).toList());
        context.clock().schedule(this::renewPauses, PAUSE_RENEWAL_INTERVAL);
    }

    private boolean isPrimaryReplaced() {
        return group.leadership().leader().filter(l -> !l.equals(oldPrimary)).isPresent();
    }

    private boolean isPromoted() {
        return target.filter(group.leadership()::isLeader).isPresent();
    }

    private void onPromotionOutcome(PromotionClient.Outcome outcome) {
        context.record(
                EventCode.FAILOVER_ORDER,
                group.name(),
                "target="
                        + target.orElseThrow()
                        + " fence="
                        + fencingToken
                        + " outcome="
                        + outcome
                        + " took_ms="
                        + elapsedSince(promotionRequestedNanos).toMillis());
        boolean notAccepted =
                outcome == PromotionClient.Outcome.REFUSED
                        || outcome == PromotionClient.Outcome.NOT_SENT;
        turnedAway = notAccepted && !hasUnansweredRequest;
        if (outcome == PromotionClient.Outcome.UNKNOWN && !hasUnansweredRequest) {
            hasUnansweredRequest = true;
            record.write(lease, target.orElseThrow(), true, response -> {});
        }
        if (outcome == PromotionClient.Outcome.REJECTED) {
            abandon("the promotion request was rejected");
        } else if (notAccepted) {
            Duration timeout = turnedAway ? TURNED_AWAY_TIMEOUT : PendingPromotion.TIMEOUT;
            if (elapsedSince(startedNanos).compareTo(timeout) > 0) {
                end("the platform accepted no promotion request for too long");
            } else {
                context.clock().schedule(this::recordPromotion, REFUSED_RETRY_DELAY);
            }
        } else {
            awaitPromotion();
        }
    }

    private void awaitPromotion() {
        if (ended) {
            return;
        }
        InstanceId promoted = target.orElseThrow();
        if (isPromoted()) {
            group.trySendControlCommand(
                    oldPrimary, new Statement.StepDown(group.leadership().term()), response -> {});
            end("promoted " + promoted + " in " + elapsedSince(startedNanos).toMillis() + " ms");
        } else if (elapsedSince(startedNanos).compareTo(PendingPromotion.TIMEOUT) > 0) {
            end("promotion had no effect, unanswered=" + hasUnansweredRequest);
        } else if (elapsedSince(promotionRequestedNanos).compareTo(PROMOTION_RETRY_INTERVAL) > 0) {
            recordPromotion();
        } else {
            targetReplication.query(promoted);
            context.clock().schedule(this::awaitPromotion, POLL_INTERVAL);
        }
    }

    private void abandon(String reason) {
        end("abandoned: " + reason);
    }

    private void end(String outcome) {
        if (ended) {
            return;
        }
        ended = true;
        pauses.end();
        boolean otherPending = isEarlierHolderRecorded() || isOtherRequestKnown();
        boolean isOtherRejected = isPromoted() && context.fencingEnforced();
        boolean mayBeExecuted =
                hasUnansweredRequest
                        || pending.filter(p -> p.fencingToken() == fencingToken).isPresent()
                        || otherPending && !isOtherRejected;
        if (promotionRequested && !mayBeExecuted) {
            record.clear(lease);
        }
        context.record(EventCode.FAILOVER_ENDED, group.name(), outcome);
        if (lease.isHeld() && (isPromoted() || !hasUnansweredRequest && !otherPending)) {
            pauses.resume(
                    replicasToPause().stream()
                            .filter(id -> !group.leadership().isLeader(id))
                            .toList());
        }
        onEnded.accept(requestOutcome());
    }

    private Outcome requestOutcome() {
        if (!promotionRequested) {
            return Outcome.NOT_REQUESTED;
        }
        return turnedAway ? Outcome.TURNED_AWAY : Outcome.REQUESTED;
    }

    private Duration elapsedSince(long startNanos) {
        return Duration.ofNanos(context.clock().nanoTime() - startNanos);
    }

    /** What became of a failover's request. */
    enum Outcome {
        /** None was sent. */
        NOT_REQUESTED,
        /** The last one was accepted, rejected or not answered. */
        REQUESTED,
        /** The platform accepted none, so another process should try. */
        TURNED_AWAY
    }
}
