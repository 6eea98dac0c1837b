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
 * A small model of three instances and two proposers: every message may come at any later time or
 * never. The proposers run the real {@link Promoter}; a write counts as acknowledged by the real
 * rule of {@link Standing#confirms}.
 */
final class GroupModel {
    static final int INSTANCE_COUNT = 3;
    static final int PROPOSER_COUNT = 2;
    private static final long LATE = Long.MAX_VALUE / 2;

    /** Decides a proposer's step. */
    @FunctionalInterface
    interface TransitionFunction {
        PromotionTransition apply(PromotionState state, PromotionEvent event, long nowNanos);
    }

    /** The rules under test; tests break one of them to see the invariants fail. */
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

    /** An entry of the log; the empty one that starts a term is write 0. */
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

        Instance with(Term nextPromised, boolean nextPrimary, List<Entry> nextLog) {
            return new Instance(
                    nextPromised, nextPrimary, List.copyOf(nextLog), isDown, isPartitioned);
        }

        Instance with(Entry entry) {
            List<Entry> next = new ArrayList<>(log);
            next.add(entry);
            return with(promisedTerm, isPrimary, next);
        }
    }

    /** A request under way to an instance. */
    record Request(int proposerIndex, PromotionAction action) {}

    /** An answer under way to a proposer. */
    record Reply(int proposerIndex, Term term, ReplicationStatus status) {}

    /** A write that an instance executed, perhaps after a later primary had come. */
    record Write(int id, int instanceIndex, LogPosition position, boolean isPrimaryReplaced) {}

    record StepBudget(int proposalCount, int writeCount, int faultCount) {}

    /** The state of everything. */
    record ModelState(
            List<Instance> instances,
            List<PromotionState> proposerStates,
            List<Term> highestSeenTerms,
            Set<Object> inFlightMessages,
            List<Write> writes,
            Set<Write> acknowledgedWrites,
            Map<Term, Integer> primaryByTerm,
            StepBudget remainingBudget) {}

    private final Rules rules;

    GroupModel(Rules rules) {
        this.rules = rules;
    }

    static ModelState initialState(StepBudget limits) {
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
                limits);
    }

    /** Instance b has replaced a, whose log has one write that a majority holds and one more. */
    static ModelState afterOnePromotion(StepBudget limits) {
        Term one = Term.of(1);
        Term two = PromotionStateMachine.nextTerm(one, 0);
        Entry empty = new Entry(one, 0);
        Entry held = new Entry(one, 1);
        List<Entry> logOfA = List.of(empty, held, new Entry(one, 2));
        List<Entry> logOfB = List.of(empty, held, new Entry(two, 0));
        ModelState first = initialState(limits);
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
                limits);
    }

    static GroupSpec spec() {
        List<InstanceSpec> instances =
                IntStream.range(0, INSTANCE_COUNT).mapToObj(GroupModel::instance).toList();
        return new GroupSpec(GroupId.of("g"), 1, 1, instances);
    }

    /** Returns every world that one step can lead to. */
    List<ModelState> successors(ModelState w) {
        List<ModelState> all = new ArrayList<>();
        for (int p = 0; p < PROPOSER_COUNT; p++) {
            propose(w, p, all);
        }
        w.inFlightMessages().forEach(message -> deliver(w, message, all));
        for (int i = 0; i < INSTANCE_COUNT; i++) {
            write(w, i).ifPresent(all::add);
            replicate(w, i, all);
            acknowledge(w, i, all);
            fail(w, i, all);
        }
        return all;
    }

    private void propose(ModelState w, int p, List<ModelState> all) {
        if (!(w.proposerStates().get(p) instanceof PromotionState.Idle)) {
            all.add(step(w, p, new PromotionEvent.Tick(), LATE));
        } else if (w.remainingBudget().proposalCount() > 0) {
            StepBudget left =
                    new StepBudget(
                            w.remainingBudget().proposalCount() - 1,
                            w.remainingBudget().writeCount(),
                            w.remainingBudget().faultCount());
            ModelState started = with(w, w.inFlightMessages(), left);
            Term term =
                    PromotionStateMachine.nextTerm(w.highestSeenTerms().get(p), rules.tags()[p]);
            for (Optional<InstanceId> old : List.of(Optional.<InstanceId>empty(), first(w))) {
                PromotionEvent wanted =
                        new PromotionEvent.PromotionRequested(term, old, Optional.empty());
                all.add(step(started, p, wanted, 0));
            }
        }
    }

    private static Optional<InstanceId> first(ModelState w) {
        return IntStream.range(0, INSTANCE_COUNT)
                .filter(i -> w.instances().get(i).isPrimary())
                .mapToObj(i -> instance(i).id())
                .findFirst();
    }

    private ModelState step(ModelState w, int p, PromotionEvent event, long now) {
        PromotionTransition step = rules.transition().apply(w.proposerStates().get(p), event, now);
        List<PromotionState> proposers = new ArrayList<>(w.proposerStates());
        proposers.set(p, step.state());
        Set<Object> network = new HashSet<>(w.inFlightMessages());
        step.actions().stream()
                .filter(a -> target(a).isPresent())
                .forEach(a -> network.add(new Request(p, a)));
        return new ModelState(
                w.instances(),
                List.copyOf(proposers),
                w.highestSeenTerms(),
                Set.copyOf(network),
                w.writes(),
                w.acknowledgedWrites(),
                w.primaryByTerm(),
                w.remainingBudget());
    }

    /** A request's answer comes at once, or is left to come later or never. */
    private void deliver(ModelState w, Object message, List<ModelState> all) {
        ModelState delivered = deliver(w, message);
        all.add(delivered);
        if (message instanceof Request) {
            delivered.inFlightMessages().stream()
                    .filter(m -> m instanceof Reply && !w.inFlightMessages().contains(m))
                    .forEach(reply -> all.add(deliver(delivered, reply)));
        }
    }

    private ModelState deliver(ModelState w, Object message) {
        Set<Object> network = new HashSet<>(w.inFlightMessages());
        network.remove(message);
        if (message instanceof Reply reply) {
            List<Term> seen = new ArrayList<>(w.highestSeenTerms());
            Term promised = reply.status().promisedTerm();
            if (promised.isAfter(seen.get(reply.proposerIndex()))) {
                seen.set(reply.proposerIndex(), promised);
            }
            ModelState read =
                    new ModelState(
                            w.instances(),
                            w.proposerStates(),
                            List.copyOf(seen),
                            Set.copyOf(network),
                            w.writes(),
                            w.acknowledgedWrites(),
                            w.primaryByTerm(),
                            w.remainingBudget());
            PromotionEvent answered =
                    new PromotionEvent.ResponseReceived(reply.term(), reply.status());
            return step(read, reply.proposerIndex(), answered, 0);
        }
        Request request = (Request) message;
        int i = target(request.action()).orElseThrow();
        if (w.instances().get(i).isDown()) {
            return with(w, network, w.remainingBudget());
        }
        return serve(with(w, network, w.remainingBudget()), request, i);
    }

    private ModelState serve(ModelState w, Request request, int i) {
        Instance old = w.instances().get(i);
        Instance now = old;
        Term term = term(request.action());
        boolean promotes = request.action() instanceof PromotionAction.Promote;
        if (promotes && term.equals(old.promisedTerm()) && !old.isPrimary()) {
            now = old.with(term, true, old.log()).with(new Entry(term, 0));
        } else if (!promotes && term.isAfter(old.promisedTerm())) {
            now = old.with(term, false, old.log());
        }
        Map<Term, Integer> primaries = new HashMap<>(w.primaryByTerm());
        if (now.isPrimary() && !old.isPrimary()) {
            check(primaries.putIfAbsent(term, i) == null, "two primaries at " + term);
            Instance primary = now;
            check(
                    w.acknowledgedWrites().stream().allMatch(a -> holds(primary, a)),
                    "acknowledged write is not in the primary of " + term);
        }
        Set<Object> network = new HashSet<>(w.inFlightMessages());
        if (!(request.action() instanceof PromotionAction.Follow)) {
            network.add(new Reply(request.proposerIndex(), term, standing(now, i)));
        }
        return new ModelState(
                replace(w.instances(), i, now),
                w.proposerStates(),
                w.highestSeenTerms(),
                Set.copyOf(network),
                w.writes(),
                w.acknowledgedWrites(),
                Map.copyOf(primaries),
                w.remainingBudget());
    }

    private Optional<ModelState> write(ModelState w, int i) {
        Instance primary = w.instances().get(i);
        if (!primary.isPrimary() || primary.isDown() || w.remainingBudget().writeCount() == 0) {
            return Optional.empty();
        }
        int id = w.writes().size() + 1;
        Instance next = primary.with(new Entry(primary.promisedTerm(), id));
        List<Write> writes = new ArrayList<>(w.writes());
        Term term = primary.promisedTerm();
        boolean replaced = w.primaryByTerm().keySet().stream().anyMatch(t -> t.isAfter(term));
        writes.add(new Write(id, i, next.lastPosition(), replaced));
        StepBudget left =
                new StepBudget(
                        w.remainingBudget().proposalCount(),
                        w.remainingBudget().writeCount() - 1,
                        w.remainingBudget().faultCount());
        return Optional.of(
                new ModelState(
                        replace(w.instances(), i, next),
                        w.proposerStates(),
                        w.highestSeenTerms(),
                        w.inFlightMessages(),
                        List.copyOf(writes),
                        w.acknowledgedWrites(),
                        w.primaryByTerm(),
                        left));
    }

    /** A replica reads the next entry from the primary of its term, or drops what differs. */
    private void replicate(ModelState w, int i, List<ModelState> all) {
        Instance replica = w.instances().get(i);
        for (Instance primary : w.instances()) {
            boolean reached =
                    primary.isPrimary()
                            && !replica.isPrimary()
                            && primary.promisedTerm().equals(replica.promisedTerm())
                            && !(primary.isDown() || replica.isDown())
                            && !(primary.isPartitioned() || replica.isPartitioned());
            if (reached) {
                all.add(withInstance(w, i, rules.replicationRule().apply(replica, primary)));
            }
        }
    }

    /** The log of the primary goes on from the longest start that both have. */
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

    /** A wrong rule: drops the whole last term, also what a majority holds. */
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

    private void acknowledge(ModelState w, int replica, List<ModelState> all) {
        ReplicationStatus standing = standing(w.instances().get(replica), replica);
        for (Write write : w.writes()) {
            boolean proved =
                    write.instanceIndex() != replica
                            && !w.instances().get(replica).isDown()
                            && rules.confirmationRule().test(standing, write.position());
            if (proved && !w.acknowledgedWrites().contains(write)) {
                all.add(acknowledge(w, write));
            }
        }
    }

    private static ModelState acknowledge(ModelState w, Write write) {
        check(!write.isPrimaryReplaced(), "acknowledged by a primary already replaced");
        w.primaryByTerm().entrySet().stream()
                .filter(e -> e.getKey().isAfter(write.position().term()))
                .map(e -> w.instances().get(e.getValue()))
                .forEach(later -> check(holds(later, write), "write is not in a later primary"));
        Set<Write> acknowledged = new HashSet<>(w.acknowledgedWrites());
        acknowledged.add(write);
        return new ModelState(
                w.instances(),
                w.proposerStates(),
                w.highestSeenTerms(),
                w.inFlightMessages(),
                w.writes(),
                Set.copyOf(acknowledged),
                w.primaryByTerm(),
                w.remainingBudget());
    }

    private static void fail(ModelState w, int i, List<ModelState> all) {
        Instance old = w.instances().get(i);
        if (w.remainingBudget().faultCount() == 0 || old.isDown() || old.isPartitioned()) {
            return;
        }
        StepBudget left =
                new StepBudget(
                        w.remainingBudget().proposalCount(),
                        w.remainingBudget().writeCount(),
                        w.remainingBudget().faultCount() - 1);
        ModelState spent = with(w, w.inFlightMessages(), left);
        Instance down = new Instance(old.promisedTerm(), old.isPrimary(), old.log(), true, false);
        Instance cut = new Instance(old.promisedTerm(), old.isPrimary(), old.log(), false, true);
        all.add(withInstance(spent, i, down));
        all.add(withInstance(spent, i, cut));
    }

    private static boolean holds(Instance instance, Write write) {
        int offset = (int) write.position().offset();
        return instance.log().size() >= offset
                && instance.log().get(offset - 1).writeId() == write.id();
    }

    private static ReplicationStatus standing(Instance instance, int i) {
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

    private static ModelState with(ModelState w, Set<Object> network, StepBudget left) {
        return new ModelState(
                w.instances(),
                w.proposerStates(),
                w.highestSeenTerms(),
                Set.copyOf(network),
                w.writes(),
                w.acknowledgedWrites(),
                w.primaryByTerm(),
                left);
    }

    private static ModelState withInstance(ModelState w, int i, Instance instance) {
        return new ModelState(
                replace(w.instances(), i, instance),
                w.proposerStates(),
                w.highestSeenTerms(),
                w.inFlightMessages(),
                w.writes(),
                w.acknowledgedWrites(),
                w.primaryByTerm(),
                w.remainingBudget());
    }

    private static List<Instance> replace(List<Instance> all, int i, Instance instance) {
        List<Instance> next = new ArrayList<>(all);
        next.set(i, instance);
        return List.copyOf(next);
    }

    private static void check(boolean holds, String broken) {
        if (!holds) {
            throw new AssertionError(broken);
        }
    }
}
