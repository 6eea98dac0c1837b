package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Phaser;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.carobstage.caller.CallerMessages.StatementResultMessage;
import org.carobstage.testbed.history.Entry;
import org.carobstage.testbed.history.History;
import org.carobstage.testbed.history.Operation;
import org.carobstage.testbed.history.Operation.Action;
import org.carobstage.testbed.history.Operation.Add;
import org.carobstage.testbed.history.Operation.ListEntries;

/**
 * Sends requests at random arrival times, whether or not earlier requests have completed, so that a
 * stall shows in the latencies.
 */
public final class OpenLoopLoadGenerator {
    private static final int INITIAL_SESSIONS = 20;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final AtomicLong LAST_ENTRY_ID = new AtomicLong();

    private final LoadPlan plan;
    private final List<CallerClient> entryVms;
    private final List<DirectClient> directClients;
    private final Random random;
    private final History history;
    private final LoadResults results = LoadResults.empty();
    private final Queue<LoadSession> idleSessions = new ConcurrentLinkedQueue<>();
    private final Phaser pendingRequests = new Phaser(1);
    private final String sessionPrefix;
    private int sessionCount;

    private OpenLoopLoadGenerator(
            LoadPlan plan,
            List<CallerClient> entryVms,
            List<DirectClient> directClients,
            History history) {
        this.plan = plan;
        this.entryVms = List.copyOf(entryVms);
        this.directClients = List.copyOf(directClients);
        this.random = new Random(plan.seed());
        this.history = history;
        this.sessionPrefix = plan.group() + "-" + LAST_ENTRY_ID.get() + "-";
    }

    /**
     * Runs a plan and waits until all its requests have completed.
     *
     * @param plan the plan
     * @param entryVms the clients of the entry VMs; each request uses one of them at random
     * @param directClients the clients of the instances for direct requests, possibly none
     * @param history the history to which every operation through an entry VM is added
     * @return the results of the run
     */
    public static LoadResults run(
            LoadPlan plan,
            List<CallerClient> entryVms,
            List<DirectClient> directClients,
            History history) {
        requireNonNull(plan, "plan is null");
        requireNonNull(history, "history is null");
        OpenLoopLoadGenerator generator =
                new OpenLoopLoadGenerator(plan, entryVms, directClients, history);
        generator.sendRequests();
        generator.pendingRequests.arriveAndAwaitAdvance();
        return generator.results;
    }

    private void sendRequests() {
        for (int i = 0; i < INITIAL_SESSIONS; i++) {
            idleSessions.add(newSession());
        }
        long durationNanos = plan.duration().toNanos();
        long startNanos = System.nanoTime();
        long offsetNanos = 0;
        while (offsetNanos < durationNanos) {
            double progress = (double) offsetNanos / durationNanos;
            waitUntil(startNanos + offsetNanos);
            dispatch(startNanos + offsetNanos, progress);
            offsetNanos +=
                    nextIntervalNanos(
                            plan.requestsPerSecond() * plan.workload().rateMultiplier(progress));
        }
    }

    private long nextIntervalNanos(double requestsPerSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * NANOS_PER_SECOND);
    }

    private static void waitUntil(long timeNanos) {
        for (long remainingNanos = timeNanos - System.nanoTime();
                remainingNanos > 0;
                remainingNanos = timeNanos - System.nanoTime()) {
            LockSupport.parkNanos(remainingNanos);
        }
    }

    private void dispatch(long scheduledNanos, double progress) {
        pendingRequests.register();
        boolean isDirect = !directClients.isEmpty() && random.nextDouble() < plan.directShare();
        RequestKind kind = plan.workload().sampleRequestKind(random, progress);
        LoadSession session = Optional.ofNullable(idleSessions.poll()).orElseGet(this::newSession);
        if (isDirect) {
            sendDirect(session, scheduledNanos);
        } else {
            send(session, kind, scheduledNanos);
        }
    }

    private void sendDirect(LoadSession session, long scheduledNanos) {
        DirectClient client = directClients.get(random.nextInt(directClients.size()));
        client.listEntries(session.name())
                .whenComplete(
                        (result, error) -> {
                            results.recordDirectLatency(System.nanoTime() - scheduledNanos);
                            finish(session);
                        });
    }

    private void send(LoadSession session, RequestKind kind, long scheduledNanos) {
        boolean readsRandomOwner = kind.maxStaleness().isZero() && !kind.isWrite();
        String owner =
                readsRandomOwner ? sessionPrefix + random.nextInt(sessionCount) : session.name();
        long id = LAST_ENTRY_ID.incrementAndGet();
        CallerClient entryVm = entryVms.get(random.nextInt(entryVms.size()));
        long sentNanos = System.nanoTime();
        entryVm.send(toRequest(session, kind, owner, id))
                .whenComplete(
                        (response, error) -> {
                            long endNanos = System.nanoTime();
                            session.updateToken(response);
                            results.record(kind, response, scheduledNanos, endNanos);
                            history.add(
                                    toOperation(
                                            session, kind, owner, id, sentNanos, endNanos,
                                            response));
                            finish(session);
                        });
    }

    private void finish(LoadSession session) {
        idleSessions.add(session);
        pendingRequests.arriveAndDeregister();
    }

    private CallerRequest toRequest(LoadSession session, RequestKind kind, String owner, long id) {
        return new CallerRequest(
                plan.workload().service(),
                kind.name(),
                plan.group(),
                kind.isWrite() ? Entry.INSERT : Entry.SELECT_BY_OWNER,
                kind.isWrite() ? List.of(id, owner) : List.of(owner),
                session.token(),
                kind.hasIdempotencyKey() ? Optional.of("key-" + id) : Optional.empty());
    }

    private static Operation toOperation(
            LoadSession session,
            RequestKind kind,
            String owner,
            long id,
            long sentNanos,
            long endNanos,
            CallerResponse response) {
        Optional<StatementResultMessage> result = response.result();
        Action action = kind.isWrite() ? new Add(List.of(id)) : toListEntries(kind, result);
        String instance = result.map(StatementResultMessage::instance).orElse("");
        return new Operation(
                session.name(), owner, sentNanos, endNanos, response.outcome(), instance, action);
    }

    private static Action toListEntries(RequestKind kind, Optional<StatementResultMessage> result) {
        List<Entry> entries =
                result.map(message -> message.rows().stream().map(Entry::of).toList())
                        .orElse(List.of());
        return new ListEntries(
                kind.maxStaleness(),
                result.map(StatementResultMessage::replica).orElse(false),
                entries,
                result.map(StatementResultMessage::end).orElse(0L));
    }

    private LoadSession newSession() {
        return new LoadSession(sessionPrefix + sessionCount++);
    }
}
