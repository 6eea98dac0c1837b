package org.carobstage.testbed.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.carobstage.document.RequestPolicy;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.node.Proxy;
import org.carobstage.session.SessionPositions;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;
import org.carobstage.testbed.history.Entry;
import org.carobstage.testbed.history.Operation;
import org.carobstage.testbed.history.Operation.Action;
import org.carobstage.testbed.history.Operation.Add;
import org.carobstage.testbed.history.Operation.ListEntries;
import org.carobstage.transaction.BeginResult;
import org.carobstage.transaction.TransactionId;

/** The callers of a scenario: their sessions, open transactions and operations. */
final class SimulatedCallers {
    private final SimulatedCluster world;
    private final Map<String, SessionPositions> sessions = new HashMap<>();
    private final Map<String, Transaction> transactions = new HashMap<>();

    SimulatedCallers(SimulatedCluster world) {
        this.world = world;
    }

    PendingOperation add(String caller, long id, String owner, String vm, String type, String key) {
        RequestPolicy policy = world.requestPolicy(type);
        List<Object> values = List.of(id, owner);
        CompletionStage<Outcome> outcome = run(caller, vm, Entry.INSERT, values, policy, key);
        return record(caller, owner, outcome, done -> new Add(List.of(id)));
    }

    PendingOperation list(String caller, String owner, String vm, String type) {
        RequestPolicy policy = world.requestPolicy(type);
        List<Object> values = List.of(owner);
        CompletionStage<Outcome> outcome =
                run(caller, vm, Entry.SELECT_BY_OWNER, values, policy, null);
        return record(
                caller,
                owner,
                outcome,
                done ->
                        new ListEntries(
                                policy.maxStaleness(),
                                done.map(Outcome.Done::isReplica).orElse(false),
                                done.map(Outcome.Done::rows).orElse(List.of()).stream()
                                        .map(Entry::of)
                                        .toList(),
                                done.map(d -> d.rows().size()).orElse(0)));
    }

    PendingOperation begin(String caller, String vm, String type) {
        Proxy proxy = world.proxy(vm);
        Transaction transaction = new Transaction(proxy);
        transactions.put(caller, transaction);
        proxy.beginTransaction(
                        world.serviceName(), SimulatedCluster.GROUP_ID, world.requestPolicy(type))
                .thenAccept(transaction.begun::complete);
        CompletableFuture<PendingOperation.Completion> ended = new CompletableFuture<>();
        transaction.begun.thenAccept(
                result ->
                        ended.complete(
                                new PendingOperation.Completion(
                                        outcome(result), world.clock().nanoTime())));
        return new PendingOperation(world.clock().nanoTime(), ended);
    }

    PendingOperation addInTransaction(String caller, long id, String owner) {
        Transaction transaction = transaction(caller);
        transaction.ids.add(id);
        transaction.owner = owner;
        CompletionStage<Outcome> outcome =
                transaction.proxy.withTransactions(
                        all ->
                                all.execute(
                                        transaction.id(),
                                        world.serviceName(),
                                        Entry.INSERT,
                                        List.of(id, owner)));
        return unrecorded(outcome);
    }

    PendingOperation commit(String caller) {
        Transaction transaction = transaction(caller);
        CompletionStage<Outcome> outcome =
                transaction.proxy.withTransactions(
                        all -> all.commit(transaction.id(), world.serviceName(), Optional.empty()));
        return record(caller, transaction.owner, outcome, done -> new Add(transaction.ids));
    }

    PendingOperation rollBack(String caller) {
        Transaction transaction = transaction(caller);
        history(caller, transaction.owner, Operation.Outcome.NOT_RUN, new Add(transaction.ids));
        return unrecorded(
                transaction.proxy.withTransactions(
                        all -> all.rollback(transaction.id(), world.serviceName())));
    }

    private CompletionStage<Outcome> run(
            String caller,
            String vm,
            String sql,
            List<Object> values,
            RequestPolicy policy,
            String key) {
        Proxy proxy = world.proxy(vm);
        return proxy.run(
                new StatementRequest(
                        world.serviceName(),
                        SimulatedCluster.GROUP_ID,
                        sql,
                        values,
                        policy,
                        Optional.ofNullable(sessions.get(caller)),
                        Optional.ofNullable(key).map(IdempotencyKey::of),
                        proxy.deadlineNanos(policy.patience())));
    }

    private PendingOperation record(
            String caller,
            String owner,
            CompletionStage<Outcome> stage,
            Function<Optional<Outcome.Done>, Action> action) {
        PendingOperation running = unrecorded(stage);
        running.completion()
                .thenAccept(
                        ended -> {
                            Optional<Outcome.Done> done =
                                    ended.outcome() instanceof Outcome.Done d
                                            ? Optional.of(d)
                                            : Optional.empty();
                            done.ifPresent(
                                    d -> sessions.merge(caller, seen(d), SimulatedCallers::merge));
                            world.history()
                                    .add(
                                            new Operation(
                                                    caller,
                                                    owner,
                                                    running.startNanos(),
                                                    ended.endNanos(),
                                                    toOperationOutcome(ended.outcome()),
                                                    done.map(d -> d.instance().value()).orElse(""),
                                                    action.apply(done)));
                        });
        return running;
    }

    private PendingOperation unrecorded(CompletionStage<Outcome> stage) {
        CompletableFuture<PendingOperation.Completion> ended = new CompletableFuture<>();
        PendingOperation running = new PendingOperation(world.clock().nanoTime(), ended);
        stage.thenAccept(
                o -> ended.complete(new PendingOperation.Completion(o, world.clock().nanoTime())));
        return running;
    }

    private void history(String caller, String owner, Operation.Outcome told, Action action) {
        long now = world.clock().nanoTime();
        world.history().add(new Operation(caller, owner, now, now, told, "", action));
    }

    private Transaction transaction(String caller) {
        return Optional.ofNullable(transactions.get(caller))
                .orElseThrow(() -> new IllegalArgumentException(caller + " has no transaction"));
    }

    private static Outcome outcome(BeginResult result) {
        return result instanceof BeginResult.Refused refused
                ? refused.outcome()
                : new Outcome.Unknown("begun");
    }

    private static SessionPositions seen(Outcome.Done done) {
        return SessionPositions.empty().withPosition(SimulatedCluster.GROUP_ID, done.logPosition());
    }

    private static SessionPositions merge(SessionPositions known, SessionPositions seen) {
        return known.withPosition(
                SimulatedCluster.GROUP_ID, seen.positionFor(SimulatedCluster.GROUP_ID));
    }

    static Operation.Outcome toOperationOutcome(Outcome outcome) {
        if (outcome instanceof Outcome.Done) {
            return Operation.Outcome.DONE;
        }
        return outcome instanceof Outcome.NotRun
                ? Operation.Outcome.NOT_RUN
                : Operation.Outcome.UNKNOWN;
    }

    private static final class Transaction {
        private final Proxy proxy;
        private final CompletableFuture<BeginResult> begun = new CompletableFuture<>();
        private final List<Long> ids = new ArrayList<>();
        private String owner = "";

        private Transaction(Proxy proxy) {
            this.proxy = proxy;
        }

        private TransactionId id() {
            if (begun.getNow(null) instanceof BeginResult.Begun done) {
                return done.id();
            }
            throw new IllegalArgumentException("the transaction has not begun");
        }
    }
}
