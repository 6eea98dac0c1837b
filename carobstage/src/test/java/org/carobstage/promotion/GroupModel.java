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
import org.carobstage.backend.Standing;
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
    static final int INSTANCES = 3;
    static final int PROPOSERS = 2;
    private static final long LATE = Long.MAX_VALUE / 2;

    /** Decides a proposer's step. */
    @FunctionalInterface
    interface Decision {
        PromotionStep step(PromotionState state, PromotionEvent event, long nowNanos);
    }

    /** The rules under test; tests break one of them to see the invariants fail. */
    record Rules(
            Decision decision,
            BiPredicate<Standing, LogPosition> proof,
            BinaryOperator<Instance> follow,
            int[] tags) {
        static Rules real() {
            return new Rules(
                    Promoter.of(spec())::step,
                    Standing::confirms,
                    GroupModel::follow,
                    new int[] {1, 2});
        }

        Rules withFollow(BinaryOperator<Instance> next) {
            return new Rules(decision, proof, next, tags);
        }

        Rules withDecision(Decision next) {
            return new Rules(next, proof, follow, tags);
        }

        Rules withProof(BiPredicate<Standing, LogPosition> next) {
            return new Rules(decision, next, follow, tags);
        }

        Rules withTags(int... next) {
            return new Rules(decision, proof, follow, next);
        }
    }

    /** An entry of the log; the empty one that starts a term is write 0. */
    record Entry(Term term, int write) {}

    record Instance(Term promised, boolean primary, List<Entry> log, boolean down, boolean cut) {
        LogPosition last() {
            Term term = log.isEmpty() ? Term.ZERO : log.get(log.size() - 1).term();
            return new LogPosition(term, log.size());
        }

        Instance with(Term nextPromised, boolean nextPrimary, List<Entry> nextLog) {
            return new Instance(nextPromised, nextPrimary, List.copyOf(nextLog), down, cut);
        }

        Instance with(Entry entry) {
            List<Entry> next = new ArrayList<>(log);
            next.add(entry);
            return with(promised, primary, next);
        }
    }

    /** A request under way to an instance. */
    record Request(int proposer, PromotionAction action) {}

    /** An answer under way to a proposer. */
    record Reply(int proposer, Term term, Standing standing) {}

    /** A write that an instance executed, perhaps after a later primary had come. */
    record Write(int id, int instance, LogPosition position, boolean replaced) {}

    record Limits(int proposals, int writes, int faults) {}

    /** The state of everything. */
    record World(
            List<Instance> instances,
            List<PromotionState> proposers,
            List<Term> seen,
            Set<Object> network,
            List<Write> writes,
            Set<Write> acknowledged,
            Map<Term, Integer> primaries,
            Limits left) {}

    private final Rules rules;

    GroupModel(Rules rules) {
        this.rules = rules;
    }

    static World start(Limits limits) {
        Term one = Term.of(1);
        List<Entry> log = List.of(new Entry(one, 0));
        Instance replica = new Instance(one, false, log, false, false);
        Instance primary = new Instance(one, true, log, false, false);
        return new World(
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
    static World afterOnePromotion(Limits limits) {
        Term one = Term.of(1);
        Term two = Promoter.termAbove(one, 0);
        Entry empty = new Entry(one, 0);
        Entry held = new Entry(one, 1);
        List<Entry> logOfA = List.of(empty, held, new Entry(one, 2));
        List<Entry> logOfB = List.of(empty, held, new Entry(two, 0));
        World first = start(limits);
        Write write = new Write(1, 0, LogPosition.of(1, 2), false);
        return new World(
                List.of(
                        new Instance(two, false, logOfA, false, false),
                        new Instance(two, true, logOfB, false, false),
                        new Instance(two, false, List.of(empty), false, false)),
                first.proposers(),
                List.of(two, two),
                Set.of(),
                List.of(write),
                Set.of(write),
                Map.of(one, 0, two, 1),
                limits);
    }

    static GroupSpec spec() {
        List<InstanceSpec> instances =
                IntStream.range(0, INSTANCES).mapToObj(GroupModel::instance).toList();
        return new GroupSpec(GroupId.of("g"), 1, 1, instances);
    }

    /** Returns every world that one step can lead to. */
    List<World> next(World w) {
        List<World> all = new ArrayList<>();
        for (int p = 0; p < PROPOSERS; p++) {
            propose(w, p, all);
        }
        w.network().forEach(message -> deliver(w, message, all));
        for (int i = 0; i < INSTANCES; i++) {
            write(w, i).ifPresent(all::add);
            replicate(w, i, all);
            acknowledge(w, i, all);
            fail(w, i, all);
        }
        return all;
    }

    private void propose(World w, int p, List<World> all) {
        if (!(w.proposers().get(p) instanceof PromotionState.Idle)) {
            all.add(step(w, p, new PromotionEvent.Ticked(), LATE));
        } else if (w.left().proposals() > 0) {
            Limits left =
                    new Limits(w.left().proposals() - 1, w.left().writes(), w.left().faults());
            World started = with(w, w.network(), left);
            Term term = Promoter.termAbove(w.seen().get(p), rules.tags()[p]);
            for (Optional<InstanceId> old : List.of(Optional.<InstanceId>empty(), first(w))) {
                PromotionEvent wanted = new PromotionEvent.Wanted(term, old, Optional.empty());
                all.add(step(started, p, wanted, 0));
            }
        }
    }

    private static Optional<InstanceId> first(World w) {
        return IntStream.range(0, INSTANCES)
                .filter(i -> w.instances().get(i).primary())
                .mapToObj(i -> instance(i).id())
                .findFirst();
    }

    private World step(World w, int p, PromotionEvent event, long now) {
        PromotionStep step = rules.decision().step(w.proposers().get(p), event, now);
        List<PromotionState> proposers = new ArrayList<>(w.proposers());
        proposers.set(p, step.state());
        Set<Object> network = new HashSet<>(w.network());
        step.actions().stream()
                .filter(a -> target(a).isPresent())
                .forEach(a -> network.add(new Request(p, a)));
        return new World(
                w.instances(),
                List.copyOf(proposers),
                w.seen(),
                Set.copyOf(network),
                w.writes(),
                w.acknowledged(),
                w.primaries(),
                w.left());
    }

    /** A request's answer comes at once, or is left to come later or never. */
    private void deliver(World w, Object message, List<World> all) {
        World delivered = deliver(w, message);
        all.add(delivered);
        if (message instanceof Request) {
            delivered.network().stream()
                    .filter(m -> m instanceof Reply && !w.network().contains(m))
                    .forEach(reply -> all.add(deliver(delivered, reply)));
        }
    }

    private World deliver(World w, Object message) {
        Set<Object> network = new HashSet<>(w.network());
        network.remove(message);
        if (message instanceof Reply reply) {
            List<Term> seen = new ArrayList<>(w.seen());
            Term promised = reply.standing().promised();
            if (promised.isAfter(seen.get(reply.proposer()))) {
                seen.set(reply.proposer(), promised);
            }
            World read =
                    new World(
                            w.instances(),
                            w.proposers(),
                            List.copyOf(seen),
                            Set.copyOf(network),
                            w.writes(),
                            w.acknowledged(),
                            w.primaries(),
                            w.left());
            PromotionEvent answered = new PromotionEvent.Answered(reply.term(), reply.standing());
            return step(read, reply.proposer(), answered, 0);
        }
        Request request = (Request) message;
        int i = target(request.action()).orElseThrow();
        if (w.instances().get(i).down()) {
            return with(w, network, w.left());
        }
        return serve(with(w, network, w.left()), request, i);
    }

    private World serve(World w, Request request, int i) {
        Instance old = w.instances().get(i);
        Instance now = old;
        Term term = term(request.action());
        boolean promotes = request.action() instanceof PromotionAction.Promote;
        if (promotes && term.equals(old.promised()) && !old.primary()) {
            now = old.with(term, true, old.log()).with(new Entry(term, 0));
        } else if (!promotes && term.isAfter(old.promised())) {
            now = old.with(term, false, old.log());
        }
        Map<Term, Integer> primaries = new HashMap<>(w.primaries());
        if (now.primary() && !old.primary()) {
            check(primaries.putIfAbsent(term, i) == null, "two primaries at " + term);
            Instance primary = now;
            check(
                    w.acknowledged().stream().allMatch(a -> holds(primary, a)),
                    "acknowledged write is not in the primary of " + term);
        }
        Set<Object> network = new HashSet<>(w.network());
        if (!(request.action() instanceof PromotionAction.Follow)) {
            network.add(new Reply(request.proposer(), term, standing(now, i)));
        }
        return new World(
                replace(w.instances(), i, now),
                w.proposers(),
                w.seen(),
                Set.copyOf(network),
                w.writes(),
                w.acknowledged(),
                Map.copyOf(primaries),
                w.left());
    }

    private Optional<World> write(World w, int i) {
        Instance primary = w.instances().get(i);
        if (!primary.primary() || primary.down() || w.left().writes() == 0) {
            return Optional.empty();
        }
        int id = w.writes().size() + 1;
        Instance next = primary.with(new Entry(primary.promised(), id));
        List<Write> writes = new ArrayList<>(w.writes());
        Term term = primary.promised();
        boolean replaced = w.primaries().keySet().stream().anyMatch(t -> t.isAfter(term));
        writes.add(new Write(id, i, next.last(), replaced));
        Limits left = new Limits(w.left().proposals(), w.left().writes() - 1, w.left().faults());
        return Optional.of(
                new World(
                        replace(w.instances(), i, next),
                        w.proposers(),
                        w.seen(),
                        w.network(),
                        List.copyOf(writes),
                        w.acknowledged(),
                        w.primaries(),
                        left));
    }

    /** A replica reads the next entry from the primary of its term, or drops what differs. */
    private void replicate(World w, int i, List<World> all) {
        Instance replica = w.instances().get(i);
        for (Instance primary : w.instances()) {
            boolean reached =
                    primary.primary()
                            && !replica.primary()
                            && primary.promised().equals(replica.promised())
                            && !(primary.down() || replica.down())
                            && !(primary.cut() || replica.cut());
            if (reached) {
                all.add(withInstance(w, i, rules.follow().apply(replica, primary)));
            }
        }
    }

    /** The log of the primary goes on from the longest start that both have. */
    static Instance follow(Instance replica, Instance primary) {
        List<Entry> log = replica.log();
        int common = 0;
        while (common < Math.min(log.size(), primary.log().size())
                && log.get(common).equals(primary.log().get(common))) {
            common++;
        }
        if (common < log.size()) {
            return replica.with(replica.promised(), false, log.subList(0, common));
        }
        return common == primary.log().size() ? replica : replica.with(primary.log().get(common));
    }

    /** A wrong rule: drops the whole last term, also what a majority holds. */
    static Instance followDroppingTerm(Instance replica, Instance primary) {
        Instance next = follow(replica, primary);
        if (next.log().size() >= replica.log().size()) {
            return next;
        }
        Term last = replica.last().term();
        return next.with(
                next.promised(),
                false,
                replica.log().stream().filter(e -> !e.term().equals(last)).toList());
    }

    private void acknowledge(World w, int replica, List<World> all) {
        Standing standing = standing(w.instances().get(replica), replica);
        for (Write write : w.writes()) {
            boolean proved =
                    write.instance() != replica
                            && !w.instances().get(replica).down()
                            && rules.proof().test(standing, write.position());
            if (proved && !w.acknowledged().contains(write)) {
                all.add(acknowledge(w, write));
            }
        }
    }

    private static World acknowledge(World w, Write write) {
        check(!write.replaced(), "acknowledged by a primary already replaced");
        w.primaries().entrySet().stream()
                .filter(e -> e.getKey().isAfter(write.position().term()))
                .map(e -> w.instances().get(e.getValue()))
                .forEach(later -> check(holds(later, write), "write is not in a later primary"));
        Set<Write> acknowledged = new HashSet<>(w.acknowledged());
        acknowledged.add(write);
        return new World(
                w.instances(),
                w.proposers(),
                w.seen(),
                w.network(),
                w.writes(),
                Set.copyOf(acknowledged),
                w.primaries(),
                w.left());
    }

    private static void fail(World w, int i, List<World> all) {
        Instance old = w.instances().get(i);
        if (w.left().faults() == 0 || old.down() || old.cut()) {
            return;
        }
        Limits left = new Limits(w.left().proposals(), w.left().writes(), w.left().faults() - 1);
        World spent = with(w, w.network(), left);
        Instance down = new Instance(old.promised(), old.primary(), old.log(), true, false);
        Instance cut = new Instance(old.promised(), old.primary(), old.log(), false, true);
        all.add(withInstance(spent, i, down));
        all.add(withInstance(spent, i, cut));
    }

    private static boolean holds(Instance instance, Write write) {
        int offset = (int) write.position().offset();
        return instance.log().size() >= offset
                && instance.log().get(offset - 1).write() == write.id();
    }

    private static Standing standing(Instance instance, int i) {
        return new Standing(
                instance(i).id(), instance.promised(), instance.primary(), instance.last(), 0);
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

    private static World with(World w, Set<Object> network, Limits left) {
        return new World(
                w.instances(),
                w.proposers(),
                w.seen(),
                Set.copyOf(network),
                w.writes(),
                w.acknowledged(),
                w.primaries(),
                left);
    }

    private static World withInstance(World w, int i, Instance instance) {
        return new World(
                replace(w.instances(), i, instance),
                w.proposers(),
                w.seen(),
                w.network(),
                w.writes(),
                w.acknowledged(),
                w.primaries(),
                w.left());
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
