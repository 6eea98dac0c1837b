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
    private final SimulatedCluster cluster;
    private final Map<String, SessionPositions> sessions = new HashMap<>();
    private final Map<String, Transaction> transactions = new HashMap<>();

    SimulatedCallers(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    PendingOperation add(
            String caller, long id, String owner, String vm, String requestClass, String key) {
        RequestPolicy policy = cluster.requestPolicy(requestClass);
        List<Object> parameters = List.of(id, owner);
        CompletionStage<Outcome> outcome = run(caller, vm, Entry.INSERT, parameters, policy, key);
        return record(caller, owner, outcome, done -> new Add(List.of(id)));
    }

    PendingOperation list(String caller, String owner, String vm, String requestClass) {
        RequestPolicy policy = cluster.requestPolicy(requestClass);
        List<Object> parameters = List.of(owner);
        CompletionStage<Outcome> outcome =
                run(caller, vm, Entry.SELECT_BY_OWNER, parameters, policy, null);
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

    PendingOperation begin(String caller, String vm, String requestClass) {
        Proxy proxy = cluster.proxy(vm);
        Transaction transaction = new Transaction(proxy);
        transactions.put(caller, transaction);
        proxy.beginTransaction(
                        cluster.serviceName(),
                        SimulatedCluster.GROUP_ID,
                        cluster.requestPolicy(requestClass))
                .thenAccept(transaction.beginResult::complete);
        CompletableFuture<PendingOperation.Completion> completion = new CompletableFuture<>();
        transaction.beginResult.thenAccept(
                result ->
                        completion.complete(
                                new PendingOperation.Completion(
                                        beginOutcome(result), cluster.clock().nanoTime())));
        return new PendingOperation(cluster.clock().nanoTime(), completion);
    }

    PendingOperation addInTransaction(String caller, long id, String owner) {
        Transaction transaction = transaction(caller);
        transaction.ids.add(id);
        transaction.owner = owner;
        CompletionStage<Outcome> outcome =
                transaction.proxy.withTransactions(
                        registry ->
                                registry.execute(
                                        transaction.id(),
                                        cluster.serviceName(),
                                        Entry.INSERT,
                                        List.of(id, owner)));
        return toPendingOperation(outcome);
    }

    PendingOperation commit(String caller) {
        Transaction transaction = transaction(caller);
        CompletionStage<Outcome> outcome =
                transaction.proxy.withTransactions(
                        registry ->
                                registry.commit(
                                        transaction.id(), cluster.serviceName(), Optional.empty()));
        return record(caller, transaction.owner, outcome, done -> new Add(transaction.ids));
    }

    PendingOperation rollBack(String caller) {
        Transaction transaction = transaction(caller);
        addToHistory(
                caller, transaction.owner, Operation.Outcome.NOT_RUN, new Add(transaction.ids));
        return toPendingOperation(
                transaction.proxy.withTransactions(
                        registry -> registry.rollback(transaction.id(), cluster.serviceName())));
    }

    private CompletionStage<Outcome> run(
            String caller,
            String vm,
            String sql,
            List<Object> parameters,
            RequestPolicy policy,
            String key) {
        Proxy proxy = cluster.proxy(vm);
        return proxy.run(
                new StatementRequest(
                        cluster.serviceName(),
                        SimulatedCluster.GROUP_ID,
                        sql,
                        parameters,
                        policy,
                        Optional.ofNullable(sessions.get(caller)),
                        Optional.ofNullable(key).map(IdempotencyKey::of),
                        proxy.deadlineNanos(policy.patience())));
    }

    private PendingOperation record(
            String caller,
            String owner,
            CompletionStage<Outcome> outcome,
            Function<Optional<Outcome.Done>, Action> action) {
        PendingOperation operation = toPendingOperation(outcome);
        operation
                .completion()
                .thenAccept(
                        completed -> {
                            Optional<Outcome.Done> done =
                                    completed.outcome() instanceof Outcome.Done d
                                            ? Optional.of(d)
                                            : Optional.empty();
                            done.ifPresent(
                                    d ->
                                            sessions.merge(
                                                    caller,
                                                    toSessionPositions(d),
                                                    SimulatedCallers::merge));
                            cluster.history()
                                    .add(
                                            new Operation(
                                                    caller,
                                                    owner,
                                                    operation.startNanos(),
                                                    completed.endNanos(),
                                                    toOperationOutcome(completed.outcome()),
                                                    done.map(d -> d.instance().value()).orElse(""),
                                                    action.apply(done)));
                        });
        return operation;
    }

    private PendingOperation toPendingOperation(CompletionStage<Outcome> outcome) {
        CompletableFuture<PendingOperation.Completion> completion = new CompletableFuture<>();
        PendingOperation operation = new PendingOperation(cluster.clock().nanoTime(), completion);
        outcome.thenAccept(
                value ->
                        completion.complete(
                                new PendingOperation.Completion(
                                        value, cluster.clock().nanoTime())));
        return operation;
    }

    private void addToHistory(
            String caller, String owner, Operation.Outcome outcome, Action action) {
        long nowNanos = cluster.clock().nanoTime();
        cluster.history()
                .add(new Operation(caller, owner, nowNanos, nowNanos, outcome, "", action));
    }

    private Transaction transaction(String caller) {
        return Optional.ofNullable(transactions.get(caller))
                .orElseThrow(() -> new IllegalArgumentException(caller + " has no transaction"));
    }

    private static Outcome beginOutcome(BeginResult result) {
        return result instanceof BeginResult.Refused refused
                ? refused.outcome()
                : new Outcome.Unknown("transaction begun, not yet committed");
    }

    private static SessionPositions toSessionPositions(Outcome.Done done) {
        return SessionPositions.empty().withPosition(SimulatedCluster.GROUP_ID, done.logPosition());
    }

    private static SessionPositions merge(SessionPositions known, SessionPositions latest) {
        return known.withPosition(
                SimulatedCluster.GROUP_ID, latest.positionFor(SimulatedCluster.GROUP_ID));
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
        private final CompletableFuture<BeginResult> beginResult = new CompletableFuture<>();
        private final List<Long> ids = new ArrayList<>();
        private String owner = "";

        private Transaction(Proxy proxy) {
            this.proxy = proxy;
        }

        private TransactionId id() {
            if (beginResult.getNow(null) instanceof BeginResult.Begun begun) {
                return begun.id();
            }
            throw new IllegalArgumentException("the transaction has not begun");
        }
    }
}
