package org.carobstage.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventCode;
import org.carobstage.failover.FailoverCandidateSelector.Replica;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ServiceGroup;

/**
 * One replacement of a primary, led by this process. Replicas are stopped at a new term so that no
 * commit is acknowledged by one that is not promoted. While the old primary still serves, the
 * replica to be promoted goes on receiving and only the others are stopped.
 */
final class Failover {
    private static final Duration STEP = Duration.ofMillis(40);

    /** How long stopping the replicas may take: a few full queues of an instance. */
    private static final Duration STOP_TIMEOUT = Duration.ofMillis(700);

    /** How long the promoted replica may need for what the stopped ones have received. */
    private static final Duration CATCH_UP_TIMEOUT = Duration.ofMillis(1_500);

    /** An order without effect for this long is sent again; it names the same instance. */
    private static final Duration ORDER_AGAIN = Duration.ofMillis(2_500);

    /** Unanswered orders are carried out within 12 s; then nothing more is to be expected. */
    private static final Duration GIVE_UP = Duration.ofMillis(15_000);

    private final FailoverContext context;
    private final ServiceGroup group;
    private final InstanceId old;
    private final boolean planned;
    private final long fence;
    private final Supplier<Optional<LogPosition>> acknowledged;
    private final Consumer<Boolean> ended;
    private final long startedNanos;
    private final Map<InstanceId, InstanceStatus> stopped = new HashMap<>();
    private final Set<InstanceId> asked = new HashSet<>();
    private Term term = Term.ZERO;
    private Optional<InstanceId> target = Optional.empty();
    private long orderedNanos;
    private boolean ordered;
    private boolean unanswered;
    private boolean over;

    Failover(
            FailoverContext context,
            ServiceGroup group,
            InstanceId old,
            boolean planned,
            long fence,
            Supplier<Optional<LogPosition>> acknowledged,
            Consumer<Boolean> ended) {
        this.context = context;
        this.group = group;
        this.old = old;
        this.planned = planned;
        this.fence = fence;
        this.acknowledged = acknowledged;
        this.ended = ended;
        this.startedNanos = context.clock().nanoTime();
    }

    void start() {
        term =
                group.instances().stream()
                        .map(e -> group.status(e.id()))
                        .flatMap(Optional::stream)
                        .map(s -> s.term().isAfter(s.pausedTerm()) ? s.term() : s.pausedTerm())
                        .reduce(group.leadership().term(), (a, b) -> a.isAfter(b) ? a : b)
                        .next();
        if (planned) {
            target = successor();
            if (target.isEmpty()) {
                abandon("no replica can take over");
                return;
            }
        }
        context.record(
                EventCode.PROMOTION_STARTED,
                group.name(),
                "old=" + old + " planned=" + planned + " term=" + term + " fence=" + fence);
        stopReplicas();
    }

    private Optional<InstanceId> successor() {
        return replicas().stream()
                .filter(e -> !e.draining() && !group.isSuspected(e.id()))
                .filter(e -> group.status(e.id()).isPresent())
                .map(e -> new Replica(e.id(), group.status(e.id()).get().receivedPosition(), false))
                .max(java.util.Comparator.comparing(Replica::received))
                .map(Replica::id);
    }

    private List<InstanceEntry> replicas() {
        return group.instances().stream().filter(e -> !e.id().equals(old)).toList();
    }

    private List<InstanceId> toStop() {
        return replicas().stream()
                .map(InstanceEntry::id)
                .filter(id -> !planned || !target.equals(Optional.of(id)))
                .toList();
    }

    private void stopReplicas() {
        if (over) {
            return;
        }
        List<InstanceId> all = toStop();
        all.stream().filter(id -> !asked.contains(id)).forEach(this::stop);
        boolean complete = all.stream().allMatch(stopped::containsKey);
        if (complete || elapsed(startedNanos).compareTo(STOP_TIMEOUT) > 0) {
            choose();
        } else {
            context.clock().schedule(this::stopReplicas, STEP);
        }
    }

    private void stop(InstanceId id) {
        boolean sent =
                group.trySendControlCommand(
                        id,
                        new Statement.PauseReplication(term),
                        answer -> {
                            asked.remove(id);
                            answer.status().ifPresent(s -> stopped.put(id, s));
                        });
        if (sent) {
            asked.add(id);
        }
    }

    private void choose() {
        if (planned) {
            waitForSuccessor();
            return;
        }
        if (!group.isSuspected(old) && group.leadership().isLeader(old)) {
            abandon("the old primary answers again");
            return;
        }
        List<Replica> candidates =
                replicas().stream()
                        .filter(e -> stopped.containsKey(e.id()))
                        .map(
                                e ->
                                        new Replica(
                                                e.id(),
                                                stopped.get(e.id()).receivedPosition(),
                                                e.draining()))
                        .toList();
        Optional<LogPosition> newest = acknowledged.get();
        target =
                FailoverCandidateSelector.select(candidates, replicas().size(), newest)
                        .map(Replica::id);
        context.record(
                EventCode.FAILOVER_CHOICE,
                group.name(),
                "target="
                        + target.map(InstanceId::value).orElse("none")
                        + " candidates="
                        + candidates
                        + " replicas="
                        + replicas().size()
                        + " acknowledged="
                        + newest);
        if (target.isEmpty()) {
            abandon("no replica surely holds every acknowledged commit");
        } else {
            order();
        }
    }

    private void waitForSuccessor() {
        if (over) {
            return;
        }
        InstanceId successor = target.orElseThrow();
        List<InstanceId> others = toStop();
        if (!others.stream().allMatch(stopped::containsKey)) {
            abandon("not all other replicas could be stopped");
            return;
        }
        LogPosition newest =
                others.stream()
                        .map(id -> stopped.get(id).receivedPosition())
                        .reduce(LogPosition.empty(), LogPosition::max);
        boolean caughtUp =
                group.status(successor)
                        .filter(s -> s.receivedPosition().isAtLeast(newest))
                        .isPresent();
        if (caughtUp) {
            context.record(
                    EventCode.FAILOVER_CHOICE,
                    group.name(),
                    "target=" + successor + " newest=" + newest + " stopped=" + others);
            order();
        } else if (elapsed(startedNanos).compareTo(CATCH_UP_TIMEOUT) > 0) {
            abandon("the successor does not catch up");
        } else {
            group.trySendControlCommand(successor, new Statement.QueryStatus(), answer -> {});
            context.clock().schedule(this::waitForSuccessor, STEP);
        }
    }

    private void order() {
        if (over) {
            return;
        }
        ordered = true;
        orderedNanos = context.clock().nanoTime();
        InstanceId chosen = target.orElseThrow();
        context.promotionClient().promote(group.name(), chosen, context.vm(), fence, this::ordered);
    }

    private void ordered(PromotionClient.Outcome outcome) {
        context.record(
                EventCode.FAILOVER_ORDER,
                group.name(),
                "target=" + target.orElseThrow() + " fence=" + fence + " outcome=" + outcome);
        unanswered |= outcome == PromotionClient.Outcome.UNKNOWN;
        if (outcome == PromotionClient.Outcome.REJECTED) {
            abandon("the order was rejected");
        } else if (outcome == PromotionClient.Outcome.REFUSED) {
            context.clock().schedule(this::order, Duration.ofMillis(200));
        } else {
            awaitLead();
        }
    }

    private void awaitLead() {
        if (over) {
            return;
        }
        InstanceId chosen = target.orElseThrow();
        if (group.leadership().isLeader(chosen)) {
            end("promoted " + chosen + " in " + elapsed(startedNanos).toMillis() + " ms");
        } else if (elapsed(startedNanos).compareTo(GIVE_UP) > 0) {
            end("no effect, unanswered=" + unanswered);
        } else if (elapsed(orderedNanos).compareTo(ORDER_AGAIN) > 0) {
            order();
        } else {
            group.trySendControlCommand(chosen, new Statement.QueryStatus(), answer -> {});
            context.clock().schedule(this::awaitLead, STEP);
        }
    }

    private void abandon(String reason) {
        end("abandoned: " + reason);
    }

    private void end(String outcome) {
        if (over) {
            return;
        }
        over = true;
        context.record(EventCode.FAILOVER_ENDED, group.name(), outcome);
        toStop().stream()
                .filter(id -> !group.leadership().isLeader(id))
                .forEach(
                        id ->
                                group.trySendControlCommand(
                                        id, new Statement.ResumeReplication(), answer -> {}));
        ended.accept(ordered);
    }

    private Duration elapsed(long since) {
        return Duration.ofNanos(context.clock().nanoTime() - since);
    }
}
