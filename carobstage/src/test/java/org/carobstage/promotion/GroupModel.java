package org.carobstage.promotion;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.BinaryOperator;
import java.util.stream.IntStream;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.GroupId;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * Model of three instances and two proposers in which each message may arrive at any later time or
 * never. Proposers run the production {@link PromotionStateMachine}; writes are acknowledged by the
 * production rule {@link ReplicationStatus#confirms}.
 */
final class GroupModel {
    static final int INSTANCE_COUNT = 3;
    static final int PROPOSER_COUNT = 2;
    private static final long AFTER_DEADLINE_NANOS = Long.MAX_VALUE / 2;

    /** The transition function of a proposer. */
    @FunctionalInterface
    interface TransitionFunction {
        PromotionTransition apply(PromotionState state, PromotionEvent event, long nowNanos);
    }

    /** The rules under test; tests replace one by a faulty rule to see an invariant fail. */
    record Rules(
            TransitionFunction transition,
            BiPredicate<ReplicationStatus, LogPosition> confirmationRule,
            BinaryOperator<Instance> replicationRule,
            int[] tags) {
        static Rules production() {
            return new Rules(
                    PromotionStateMachine.of(spec())::transition,
                    ReplicationStatus::confirms,
                    GroupModel::replicateNextEntry,
                    new int[] {1, 2});
        }

        Rules withReplicationRule(BinaryOperator<Instance> next) {
            return new Rules(transition, confirmationRule, next, tags);
        }

        Rules withTransition(TransitionFunction next) {
            return new Rules(next, confirmationRule, replicationRule, tags);
        }

        Rules withConfirmationRule(BiPredicate<ReplicationStatus, LogPosition> next) {
            return new Rules(transition, next, replicationRule, tags);
        }

        Rules withTags(int... next) {
            return new Rules(transition, confirmationRule, replicationRule, next);
        }
    }

    /** A log entry; the empty entry that starts a term has write id 0. */
    record Entry(Term term, int writeId) {}

    record Instance(
            Term promisedTerm,
            boolean isPrimary,
            List<Entry> log,
            boolean isDown,
            boolean isPartitioned) {
        LogPosition lastPosition() {
            Term term = log.isEmpty() ? Term.ZERO : log.get(log.size() - 1).term();
            return new LogPosition(term, log.size());
        }

        Instance with(Term term, boolean primary, List<Entry> entries) {
            return new Instance(term, primary, List.copyOf(entries), isDown, isPartitioned);
        }

        Instance with(Entry entry) {
            List<Entry> next = new ArrayList<>(log);
            next.add(entry);
            return with(promisedTerm, isPrimary, next);
        }
    }

    /** A request in flight to an instance. */
    record Request(int proposerIndex, PromotionAction action) {}

    /** A reply in flight to a proposer. */
    record Reply(int proposerIndex, Term term, ReplicationStatus status) {}

    /** A write that an instance executed, perhaps after a later primary was promoted. */
    record Write(int id, int instanceIndex, LogPosition position, boolean isPrimaryReplaced) {}

    record StepBudget(int proposals, int writes, int faults) {}

    /** The state of all instances, proposers, messages and writes. */
    record ModelState(
            List<Instance> instances,
            List<PromotionState> proposerStates,
            List<Term> seenTerms,
            Set<Object> inFlight,
            List<Write> writes,
            Set<Write> acknowledged,
            Map<Term, Integer> primaryByTerm,
            StepBudget steps) {}

    private final Rules rules;

    GroupModel(Rules rules) {
        this.rules = rules;
    }

    static ModelState initialState(StepBudget budget) {
        Term one = Term.of(1);
        List<Entry> log = List.of(new Entry(one, 0));
        Instance replica = new Instance(one, false, log, false, false);
        Instance primary = new Instance(one, true, log, false, false);
        return new ModelState(
                List.of(primary, replica, replica),
                List.of(new PromotionState.Idle(), new PromotionState.Idle()),
                List.of(one, one),
                Set.of(),
                List.of(),
                Set.of(),
                Map.of(one, 0),
                budget);
    }

    /** Instance b has replaced a, whose log has one write that a majority holds and one more. */
    static ModelState afterOnePromotion(StepBudget budget) {
        Term one = Term.of(1);
        Term two = PromotionStateMachine.nextTerm(one, 0);
        Entry empty = new Entry(one, 0);
        Entry held = new Entry(one, 1);
        List<Entry> logOfA = List.of(empty, held, new Entry(one, 2));
        List<Entry> logOfB = List.of(empty, held, new Entry(two, 0));
        ModelState first = initialState(budget);
        Write write = new Write(1, 0, LogPosition.of(1, 2), false);
        return new ModelState(
                List.of(
                        new Instance(two, false, logOfA, false, false),
                        new Instance(two, true, logOfB, false, false),
                        new Instance(two, false, List.of(empty), false, false)),
                first.proposerStates(),
                List.of(two, two),
                Set.of(),
                List.of(write),
                Set.of(write),
                Map.of(one, 0, two, 1),
                budget);
    }

    static GroupSpec spec() {
        List<InstanceSpec> instances =
                IntStream.range(0, INSTANCE_COUNT).mapToObj(GroupModel::instance).toList();
        return new GroupSpec(GroupId.of("g"), 1, 1, instances);
    }

    /** Returns every state that one step can lead to. */
    List<ModelState> successors(ModelState s) {
        List<ModelState> all = new ArrayList<>();
        for (int p = 0; p < PROPOSER_COUNT; p++) {
            propose(s, p, all);
        }
        s.inFlight().forEach(message -> deliver(s, message, all));
        for (int i = 0; i < INSTANCE_COUNT; i++) {
            write(s, i).ifPresent(all::add);
            replicate(s, i, all);
            acknowledge(s, i, all);
            fail(s, i, all);
        }
        return all;
    }

    private void propose(ModelState s, int p, List<ModelState> all) {
        if (!(s.proposerStates().get(p) instanceof PromotionState.Idle)) {
            all.add(step(s, p, new PromotionEvent.Tick(), AFTER_DEADLINE_NANOS));
        } else if (s.steps().proposals() > 0) {
            StepBudget remaining =
                    new StepBudget(
                            s.steps().proposals() - 1, s.steps().writes(), s.steps().faults());
            ModelState next = with(s, s.inFlight(), remaining);
            Term term = PromotionStateMachine.nextTerm(s.seenTerms().get(p), rules.tags()[p]);
            for (Optional<InstanceId> old : List.of(Optional.<InstanceId>empty(), primary(s))) {
                PromotionEvent request =
                        new PromotionEvent.PromotionRequested(term, old, Optional.empty());
                all.add(step(next, p, request, 0));
            }
        }
    }

    private static Optional<InstanceId> primary(ModelState s) {
        return IntStream.range(0, INSTANCE_COUNT)
                .filter(i -> s.instances().get(i).isPrimary())
                .mapToObj(i -> instance(i).id())
                .findFirst();
    }

    private ModelState step(ModelState s, int p, PromotionEvent event, long now) {
        PromotionTransition step = rules.transition().apply(s.proposerStates().get(p), event, now);
        List<PromotionState> proposers = new ArrayList<>(s.proposerStates());
        proposers.set(p, step.state());
        Set<Object> inFlight = new HashSet<>(s.inFlight());
        step.actions().stream()
                .filter(a -> target(a).isPresent())
                .forEach(a -> inFlight.add(new Request(p, a)));
        return new ModelState(
                s.instances(),
                List.copyOf(proposers),
                s.seenTerms(),
                Set.copyOf(inFlight),
                s.writes(),
                s.acknowledged(),
                s.primaryByTerm(),
                s.steps());
    }

    /** The reply to a request arrives at once, or stays in flight to arrive later or never. */
    private void deliver(ModelState s, Object message, List<ModelState> all) {
        ModelState delivered = deliver(s, message);
        all.add(delivered);
        if (message instanceof Request) {
            delivered.inFlight().stream()
                    .filter(m -> m instanceof Reply && !s.inFlight().contains(m))
                    .forEach(reply -> all.add(deliver(delivered, reply)));
        }
    }

    private ModelState deliver(ModelState s, Object message) {
        Set<Object> inFlight = new HashSet<>(s.inFlight());
        inFlight.remove(message);
        if (message instanceof Reply reply) {
            List<Term> seen = new ArrayList<>(s.seenTerms());
            Term promisedTerm = reply.status().promisedTerm();
            if (promisedTerm.isAfter(seen.get(reply.proposerIndex()))) {
                seen.set(reply.proposerIndex(), promisedTerm);
            }
            ModelState next =
                    new ModelState(
                            s.instances(),
                            s.proposerStates(),
                            List.copyOf(seen),
                            Set.copyOf(inFlight),
                            s.writes(),
                            s.acknowledged(),
                            s.primaryByTerm(),
                            s.steps());
            PromotionEvent response =
                    new PromotionEvent.ResponseReceived(reply.term(), reply.status());
            return step(next, reply.proposerIndex(), response, 0);
        }
        Request request = (Request) message;
        int i = target(request.action()).orElseThrow();
        if (s.instances().get(i).isDown()) {
            return with(s, inFlight, s.steps());
        }
        return serve(with(s, inFlight, s.steps()), request, i);
    }

    private ModelState serve(ModelState s, Request request, int i) {
        Instance old = s.instances().get(i);
        Instance now = old;
        Term term = term(request.action());
        boolean promotes = request.action() instanceof PromotionAction.Promote;
        if (promotes && term.equals(old.promisedTerm()) && !old.isPrimary()) {
            now = old.with(term, true, old.log()).with(new Entry(term, 0));
        } else if (!promotes && term.isAfter(old.promisedTerm())) {
            now = old.with(term, false, old.log());
        }
        Map<Term, Integer> primaries = new HashMap<>(s.primaryByTerm());
        if (now.isPrimary() && !old.isPrimary()) {
            check(primaries.putIfAbsent(term, i) == null, "two primaries at " + term);
            Instance primary = now;
            check(
                    s.acknowledged().stream().allMatch(a -> holds(primary, a)),
                    "acknowledged write is not in the primary of " + term);
        }
        Set<Object> inFlight = new HashSet<>(s.inFlight());
        if (!(request.action() instanceof PromotionAction.Follow)) {
            inFlight.add(new Reply(request.proposerIndex(), term, status(now, i)));
        }
        return new ModelState(
                replace(s.instances(), i, now),
                s.proposerStates(),
                s.seenTerms(),
                Set.copyOf(inFlight),
                s.writes(),
                s.acknowledged(),
                Map.copyOf(primaries),
                s.steps());
    }

    private Optional<ModelState> write(ModelState s, int i) {
        Instance primary = s.instances().get(i);
        if (!primary.isPrimary() || primary.isDown() || s.steps().writes() == 0) {
            return Optional.empty();
        }
        int id = s.writes().size() + 1;
        Instance next = primary.with(new Entry(primary.promisedTerm(), id));
        List<Write> writes = new ArrayList<>(s.writes());
        Term term = primary.promisedTerm();
        boolean replaced = s.primaryByTerm().keySet().stream().anyMatch(t -> t.isAfter(term));
        writes.add(new Write(id, i, next.lastPosition(), replaced));
        StepBudget remaining =
                new StepBudget(s.steps().proposals(), s.steps().writes() - 1, s.steps().faults());
        return Optional.of(
                new ModelState(
                        replace(s.instances(), i, next),
                        s.proposerStates(),
                        s.seenTerms(),
                        s.inFlight(),
                        List.copyOf(writes),
                        s.acknowledged(),
                        s.primaryByTerm(),
                        remaining));
    }

    /** A replica copies the next entry of its term's primary, or drops a differing suffix. */
    private void replicate(ModelState s, int i, List<ModelState> all) {
        Instance replica = s.instances().get(i);
        for (Instance primary : s.instances()) {
            boolean isReachable =
                    primary.isPrimary()
                            && !replica.isPrimary()
                            && primary.promisedTerm().equals(replica.promisedTerm())
                            && !(primary.isDown() || replica.isDown())
                            && !(primary.isPartitioned() || replica.isPartitioned());
            if (isReachable) {
                all.add(withInstance(s, i, rules.replicationRule().apply(replica, primary)));
            }
        }
    }

    /** Drops what follows the longest common prefix of both logs, or appends the next entry. */
    static Instance replicateNextEntry(Instance replica, Instance primary) {
        List<Entry> log = replica.log();
        int common = 0;
        while (common < Math.min(log.size(), primary.log().size())
                && log.get(common).equals(primary.log().get(common))) {
            common++;
        }
        if (common < log.size()) {
            return replica.with(replica.promisedTerm(), false, log.subList(0, common));
        }
        return common == primary.log().size() ? replica : replica.with(primary.log().get(common));
    }

    /** A faulty rule: drops all entries of the last term, also those that a majority holds. */
    static Instance replicateDroppingTerm(Instance replica, Instance primary) {
        Instance next = replicateNextEntry(replica, primary);
        if (next.log().size() >= replica.log().size()) {
            return next;
        }
        Term last = replica.lastPosition().term();
        return next.with(
                next.promisedTerm(),
                false,
                replica.log().stream().filter(e -> !e.term().equals(last)).toList());
    }

    private void acknowledge(ModelState s, int replica, List<ModelState> all) {
        ReplicationStatus status = status(s.instances().get(replica), replica);
        for (Write write : s.writes()) {
            boolean isConfirmed =
                    write.instanceIndex() != replica
                            && !s.instances().get(replica).isDown()
                            && rules.confirmationRule().test(status, write.position());
            if (isConfirmed && !s.acknowledged().contains(write)) {
                all.add(acknowledge(s, write));
            }
        }
    }

    private static ModelState acknowledge(ModelState s, Write write) {
        check(!write.isPrimaryReplaced(), "write acknowledged by a replaced primary");
        s.primaryByTerm().entrySet().stream()
                .filter(e -> e.getKey().isAfter(write.position().term()))
                .map(e -> s.instances().get(e.getValue()))
                .forEach(later -> check(holds(later, write), "write is not in a later primary"));
        Set<Write> acknowledged = new HashSet<>(s.acknowledged());
        acknowledged.add(write);
        return new ModelState(
                s.instances(),
                s.proposerStates(),
                s.seenTerms(),
                s.inFlight(),
                s.writes(),
                Set.copyOf(acknowledged),
                s.primaryByTerm(),
                s.steps());
    }

    private static void fail(ModelState s, int i, List<ModelState> all) {
        Instance old = s.instances().get(i);
        if (s.steps().faults() == 0 || old.isDown() || old.isPartitioned()) {
            return;
        }
        StepBudget remaining =
                new StepBudget(s.steps().proposals(), s.steps().writes(), s.steps().faults() - 1);
        ModelState next = with(s, s.inFlight(), remaining);
        Instance down = new Instance(old.promisedTerm(), old.isPrimary(), old.log(), true, false);
        Instance split = new Instance(old.promisedTerm(), old.isPrimary(), old.log(), false, true);
        all.add(withInstance(next, i, down));
        all.add(withInstance(next, i, split));
    }

    private static boolean holds(Instance instance, Write write) {
        int offset = (int) write.position().offset();
        return instance.log().size() >= offset
                && instance.log().get(offset - 1).writeId() == write.id();
    }

    private static ReplicationStatus status(Instance instance, int i) {
        return new ReplicationStatus(
                instance(i).id(),
                instance.promisedTerm(),
                instance.isPrimary(),
                instance.lastPosition(),
                0);
    }

    private static Optional<Integer> target(PromotionAction action) {
        if (action instanceof PromotionAction.Promise a) {
            return Optional.of(index(a.instance()));
        }
        if (action instanceof PromotionAction.Promote a) {
            return Optional.of(index(a.instance()));
        }
        return action instanceof PromotionAction.Follow a
                ? Optional.of(index(a.instance()))
                : Optional.empty();
    }

    private static Term term(PromotionAction action) {
        if (action instanceof PromotionAction.Promise a) {
            return a.term();
        }
        return action instanceof PromotionAction.Promote a
                ? a.term()
                : ((PromotionAction.Follow) action).term();
    }

    private static int index(InstanceId id) {
        return id.value().charAt(0) - 'a';
    }

    private static InstanceSpec instance(int i) {
        return new InstanceSpec(
                InstanceId.of(String.valueOf((char) ('a' + i))),
                Address.of("127.0.0.1", 1),
                FailureDomain.of("d"));
    }

    private static ModelState with(ModelState s, Set<Object> inFlight, StepBudget remaining) {
        return new ModelState(
                s.instances(),
                s.proposerStates(),
                s.seenTerms(),
                Set.copyOf(inFlight),
                s.writes(),
                s.acknowledged(),
                s.primaryByTerm(),
                remaining);
    }

    private static ModelState withInstance(ModelState s, int i, Instance instance) {
        return new ModelState(
                replace(s.instances(), i, instance),
                s.proposerStates(),
                s.seenTerms(),
                s.inFlight(),
                s.writes(),
                s.acknowledged(),
                s.primaryByTerm(),
                s.steps());
    }

    private static List<Instance> replace(List<Instance> all, int i, Instance instance) {
        List<Instance> next = new ArrayList<>(all);
        next.set(i, instance);
        return List.copyOf(next);
    }

    private static void check(boolean holds, String violation) {
        if (!holds) {
            throw new AssertionError(violation);
        }
    }
}
