package org.carobstage.pool;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carobstage.backend.Backend;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.BackendResult;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.retry.Backoff;
import org.carobstage.runtime.Clock;

/**
 * The open connections to one instance. When one is lost, those that have not answered since are
 * set aside and pinged, and fresh ones are opened; those set aside that stay silent once another
 * has answered are pinged again, and retired together if they don't answer that either. All methods
 * run on the duty.
 */
final class InstanceConnections {
    static final Duration OPEN_TIMEOUT = Duration.ofMillis(1_000);
    static final Duration PING_INTERVAL = Duration.ofMillis(1_000);
    static final Duration PING_TIMEOUT = Duration.ofMillis(100);
    static final Duration UNREACHABLE_TIMEOUT = Duration.ofMillis(1_000);
    private static final int MAX_PARALLEL_OPENS = 4;
    private static final Duration FIRST_OPEN_DELAY = Duration.ofMillis(10);
    private static final Duration LONGEST_OPEN_DELAY = Duration.ofMillis(1_000);

    private final Backend backend;
    private final PoolContext runtime;
    private final Clock clock;
    private final Runnable changed;
    private final Backoff backoff;
    private final Deque<PoolEntry> idle = new ArrayDeque<>();
    private final Set<PoolEntry> suspects = new LinkedHashSet<>();
    private int leasedCount;
    private int opening;
    private int failures;
    private long noOpenBefore;
    private long failingSince;
    private long aliveNanos;
    private boolean closed;

    InstanceConnections(Backend backend, PoolContext runtime, Runnable changed) {
        this.backend = backend;
        this.runtime = runtime;
        this.clock = runtime.clock();
        this.changed = changed;
        this.backoff = new Backoff(FIRST_OPEN_DELAY, LONGEST_OPEN_DELAY, runtime.random());
        this.noOpenBefore = clock.nanoTime();
        this.aliveNanos = clock.nanoTime();
    }

    /** Returns how many connections count against the limit. */
    int openCount() {
        return idle.size() + suspects.size() + leasedCount + opening;
    }

    /** Returns how many connections can be lent or are about to. */
    int availableCount() {
        return idle.size() + opening;
    }

    /** Returns how many connections are lent. */
    int leasedCount() {
        return leasedCount;
    }

    /** Tells whether no connection is open and none could be opened for a while. */
    boolean isUnreachable() {
        long failing = clock.nanoTime() - failingSince;
        return failures > 0
                && idle.isEmpty()
                && leasedCount == 0
                && failing >= UNREACHABLE_TIMEOUT.toNanos();
    }

    /** Lends the connection that answered last. */
    Optional<PoolEntry> tryAcquire() {
        Optional<PoolEntry> next = Optional.ofNullable(idle.poll());
        next.ifPresent(p -> leasedCount++);
        return next;
    }

    /** Takes a lent connection back. */
    void release(PoolEntry pooled, boolean clean, long lentNanos, int limit) {
        leasedCount--;
        if (!clean) {
            pooled.connection().close();
            suspectUnproven(lentNanos);
            return;
        }
        prove(pooled);
        if (closed || openCount() >= limit) {
            pooled.connection().close();
        } else {
            idle.push(pooled);
        }
    }

    /** Closes idle connections above the limit and opens what is wanted below it. */
    void resize(int wanted, int limit) {
        while (openCount() > limit && !(idle.isEmpty() && suspects.isEmpty())) {
            closeOne();
        }
        int missing = wanted - availableCount();
        while (missing > 0 && mayOpen()) {
            if (openCount() >= limit && !closeLost()) {
                return;
            }
            opening++;
            new Opening().start();
            missing--;
        }
    }

    /** Pings the connection that has not answered for the longest time. */
    void pingStale() {
        long now = clock.nanoTime();
        long before = now - PING_INTERVAL.toNanos();
        idle.stream()
                .min(Comparator.comparingLong(p -> p.lastResponseNanos() - now))
                .filter(p -> p.lastResponseNanos() - before <= 0)
                .ifPresent(p -> ping(p, false));
        suspects.stream()
                .filter(p -> p.lastPingNanos() - before <= 0)
                .toList()
                .forEach(p -> ping(p, false));
    }

    void close() {
        closed = true;
        idle.forEach(p -> p.connection().close());
        suspects.forEach(p -> p.connection().close());
        idle.clear();
        suspects.clear();
    }

    private boolean mayOpen() {
        return !closed && opening < MAX_PARALLEL_OPENS && clock.nanoTime() - noOpenBefore >= 0;
    }

    /** Closes a connection that did not answer a ping, to make room for a fresh one. */
    private boolean closeLost() {
        Optional<PoolEntry> lost = suspects.stream().filter(this::isOverdue).findFirst();
        lost.ifPresent(this::closeSuspect);
        return lost.isPresent();
    }

    private void closeSuspect(PoolEntry pooled) {
        suspects.remove(pooled);
        pooled.connection().close();
    }

    private boolean isOverdue(PoolEntry pooled) {
        return clock.nanoTime() - pooled.lastPingNanos() >= PING_TIMEOUT.toNanos();
    }

    private void prove(PoolEntry pooled) {
        aliveNanos = clock.nanoTime();
        pooled.recordResponse(aliveNanos);
        suspects.stream().filter(this::isOverdue).toList().forEach(p -> ping(p, true));
    }

    private void closeOne() {
        if (suspects.isEmpty()) {
            idle.pollLast().connection().close();
        } else {
            closeSuspect(suspects.iterator().next());
        }
    }

    private void suspectUnproven(long sinceNanos) {
        List<PoolEntry> unproven =
                idle.stream().filter(p -> p.lastResponseNanos() - sinceNanos < 0).toList();
        unproven.forEach(p -> ping(p, false));
    }

    private void ping(PoolEntry pooled, boolean instanceAnswers) {
        idle.remove(pooled);
        suspects.add(pooled);
        long asked = clock.nanoTime();
        pooled.recordPing(asked, instanceAnswers);
        pooled.connection()
                .ping(PING_TIMEOUT)
                .thenAcceptAsync(answer -> pinged(pooled, answer, asked), runtime.executor());
    }

    private void pinged(PoolEntry pooled, BackendResult answer, long asked) {
        if (!suspects.contains(pooled) || pooled.lastPingNanos() != asked) {
            return;
        }
        if (answer instanceof BackendResult.Done) {
            suspects.remove(pooled);
            prove(pooled);
            idle.addLast(pooled);
        } else {
            suspectUnproven(asked);
            judge(pooled);
        }
        changed.run();
    }

    /** Pings once more if another connection has answered since the last ping, then retires. */
    private void judge(PoolEntry pooled) {
        if (pooled.isFinalPing()) {
            retireSilent();
        } else if (aliveNanos - pooled.lastPingNanos() > 0) {
            ping(pooled, true);
        }
    }

    /** Retires together the suspects that did not answer while another connection did. */
    private void retireSilent() {
        List<PoolEntry> silent = suspects.stream().filter(PoolEntry::isFinalPing).toList();
        if (silent.isEmpty() || !silent.stream().allMatch(this::isOverdue)) {
            return;
        }
        silent.forEach(this::closeSuspect);
        runtime.metrics().recordRetired(silent.size());
        record(EventCode.CONNECTIONS_RETIRED, silent.size() + " connections went silent");
    }

    private void opened(BackendConnection connection) {
        long now = clock.nanoTime();
        runtime.metrics().recordOpened();
        if (failures > 0) {
            record(EventCode.OPENING_RECOVERED, "after " + failures + " failures");
        }
        failures = 0;
        PoolEntry fresh = new PoolEntry(connection, now);
        idle.push(fresh);
        prove(fresh);
    }

    private void failed(Throwable error, long startedNanos) {
        runtime.metrics().recordOpenFailure();
        failingSince = failures == 0 ? startedNanos : failingSince;
        failures++;
        Duration delay = backoff.delay(failures);
        noOpenBefore = clock.nanoTime() + delay.toNanos();
        clock.schedule(() -> runtime.executor().execute(changed), delay);
        if (failures == 1) {
            record(EventCode.OPENING_FAILED, String.valueOf(error));
        }
    }

    private void record(EventCode code, String detail) {
        EventScope scope = EventScope.of(runtime.group());
        runtime.events().record(code, scope, "instance " + backend.spec().id() + ": " + detail);
    }

    /** One attempt to open a connection; what comes after its timeout is closed. */
    private final class Opening {
        private final long startedNanos = clock.nanoTime();
        private boolean ended;

        private void start() {
            clock.schedule(() -> runtime.executor().execute(this::timeOut), OPEN_TIMEOUT);
            backend.openConnection(OPEN_TIMEOUT).whenCompleteAsync(this::end, runtime.executor());
        }

        private void timeOut() {
            end(null, new IllegalStateException("no connection within " + OPEN_TIMEOUT));
        }

        private void end(BackendConnection connection, Throwable error) {
            if (ended || closed) {
                Optional.ofNullable(connection).ifPresent(BackendConnection::close);
                return;
            }
            ended = true;
            opening--;
            if (error == null) {
                opened(connection);
            } else {
                failed(error, startedNanos);
            }
            changed.run();
        }
    }
}
