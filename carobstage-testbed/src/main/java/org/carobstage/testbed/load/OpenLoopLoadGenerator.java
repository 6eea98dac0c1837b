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
 * Sends requests at moments drawn in advance, whether or not earlier ones were answered, so that a
 * stall shows in the latencies.
 */
public final class OpenLoopLoadGenerator {
    private static final int FIRST_SESSIONS = 20;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final AtomicLong IDS = new AtomicLong();

    private final LoadPlan plan;
    private final List<CallerClient> entries;
    private final List<DirectClient> direct;
    private final Random random;
    private final History history;
    private final LoadResults figures = LoadResults.empty();
    private final Queue<LoadSession> idle = new ConcurrentLinkedQueue<>();
    private final Phaser pending = new Phaser(1);
    private final String prefix;
    private int sessions;

    private OpenLoopLoadGenerator(
            LoadPlan plan, List<CallerClient> entries, List<DirectClient> direct, History history) {
        this.plan = plan;
        this.entries = List.copyOf(entries);
        this.direct = List.copyOf(direct);
        this.random = new Random(plan.seed());
        this.history = history;
        this.prefix = plan.group() + "-" + IDS.get() + "-";
    }

    /**
     * Runs a plan to its end and waits for the last answer.
     *
     * @param plan the plan
     * @param entries the entry VMs; each request goes to one of them at random
     * @param direct the instances of the comparison, possibly none
     * @param history where every operation is added
     * @return the figures of the run
     */
    public static LoadResults run(
            LoadPlan plan, List<CallerClient> entries, List<DirectClient> direct, History history) {
        requireNonNull(plan, "plan is null");
        requireNonNull(history, "history is null");
        OpenLoopLoadGenerator run = new OpenLoopLoadGenerator(plan, entries, direct, history);
        run.start();
        run.pending.arriveAndAwaitAdvance();
        return run.figures;
    }

    private void start() {
        for (int i = 0; i < FIRST_SESSIONS; i++) {
            idle.add(newSession());
        }
        long length = plan.duration().toNanos();
        long begin = System.nanoTime();
        long due = 0;
        while (due < length) {
            double progress = (double) due / length;
            waitUntil(begin + due);
            arrive(begin + due, progress);
            due += gap(plan.requestsPerSecond() * plan.workload().rateMultiplier(progress));
        }
    }

    private long gap(double rate) {
        return (long) (-Math.log(1 - random.nextDouble()) / rate * NANOS_PER_SECOND);
    }

    private static void waitUntil(long nanos) {
        for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    private void arrive(long intended, double progress) {
        pending.register();
        boolean straight = !direct.isEmpty() && random.nextDouble() < plan.directShare();
        RequestKind kind = plan.workload().sampleRequestKind(random, progress);
        LoadSession session = Optional.ofNullable(idle.poll()).orElseGet(this::newSession);
        if (straight) {
            sendDirect(session, intended);
        } else {
            send(session, kind, intended);
        }
    }

    private void sendDirect(LoadSession session, long intended) {
        DirectClient client = direct.get(random.nextInt(direct.size()));
        client.listEntries(session.name())
                .whenComplete(
                        (answer, error) -> {
                            figures.directLatencies(System.nanoTime() - intended);
                            finish(session);
                        });
    }

    private void send(LoadSession session, RequestKind kind, long intended) {
        boolean other = kind.maxStaleness().isZero() && !kind.isWrite();
        String owner = other ? prefix + random.nextInt(sessions) : session.name();
        long id = IDS.incrementAndGet();
        CallerClient entry = entries.get(random.nextInt(entries.size()));
        long sent = System.nanoTime();
        entry.send(call(session, kind, owner, id))
                .whenComplete(
                        (reply, error) -> {
                            long now = System.nanoTime();
                            session.updateToken(reply);
                            figures.record(kind, reply, intended, now);
                            history.add(operation(session, kind, owner, id, sent, now, reply));
                            finish(session);
                        });
    }

    private void finish(LoadSession session) {
        idle.add(session);
        pending.arriveAndDeregister();
    }

    private CallerRequest call(LoadSession session, RequestKind kind, String owner, long id) {
        return new CallerRequest(
                plan.workload().service(),
                kind.name(),
                plan.group(),
                kind.isWrite() ? Entry.INSERT : Entry.SELECT_BY_OWNER,
                kind.isWrite() ? List.of(id, owner) : List.of(owner),
                session.token(),
                kind.hasIdempotencyKey() ? Optional.of("key-" + id) : Optional.empty());
    }

    private static Operation operation(
            LoadSession session,
            RequestKind kind,
            String owner,
            long id,
            long sent,
            long now,
            CallerResponse reply) {
        Optional<StatementResultMessage> done = reply.result();
        Action action = kind.isWrite() ? new Add(List.of(id)) : list(kind, done);
        String instance = done.map(StatementResultMessage::instance).orElse("");
        return new Operation(session.name(), owner, sent, now, reply.outcome(), instance, action);
    }

    private static Action list(RequestKind kind, Optional<StatementResultMessage> done) {
        List<Entry> seen =
                done.map(d -> d.rows().stream().map(Entry::of).toList()).orElse(List.of());
        return new ListEntries(
                kind.maxStaleness(),
                done.map(StatementResultMessage::replica).orElse(false),
                seen,
                done.map(StatementResultMessage::end).orElse(0L));
    }

    private LoadSession newSession() {
        return new LoadSession(prefix + sessions++);
    }
}
