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
 * The open connections to one instance. When a leased connection is lost, the idle ones that have
 * not responded since it was leased become suspects and are pinged, and new ones are opened.
 * Suspects that are still silent after another connection has responded are pinged a last time, and
 * retired together if they don't respond to that either. All methods run on the pool's executor.
 */
final class InstanceConnections {
    static final Duration OPEN_TIMEOUT = Duration.ofMillis(1_000);
    static final Duration PING_INTERVAL = Duration.ofMillis(1_000);
    static final Duration PING_TIMEOUT = Duration.ofMillis(100);
    static final Duration UNREACHABLE_TIMEOUT = Duration.ofMillis(1_000);
    private static final int MAX_PARALLEL_OPENS = 4;
    private static final Duration INITIAL_OPEN_DELAY = Duration.ofMillis(10);
    private static final Duration MAX_OPEN_DELAY = Duration.ofMillis(1_000);

    private final Backend backend;
    private final PoolContext context;
    private final Clock clock;
    private final Runnable onChange;
    private final Backoff backoff;
    private final Deque<PoolEntry> idle = new ArrayDeque<>();
    private final Set<PoolEntry> suspects = new LinkedHashSet<>();
    private int leasedCount;
    private int openingCount;
    private int consecutiveFailures;
    private long openNotBeforeNanos;
    private long firstFailureNanos;
    private long lastResponseNanos;
    private boolean closed;

    InstanceConnections(Backend backend, PoolContext context, Runnable onChange) {
        this.backend = backend;
        this.context = context;
        this.clock = context.clock();
        this.onChange = onChange;
        this.backoff = new Backoff(INITIAL_OPEN_DELAY, MAX_OPEN_DELAY, context.random());
        this.openNotBeforeNanos = clock.nanoTime();
        this.lastResponseNanos = clock.nanoTime();
    }

    /** Returns how many connections count against the limit. */
    int openCount() {
        return idle.size() + suspects.size() + leasedCount + openingCount;
    }

    /** Returns how many connections are idle or being opened. */
    int availableCount() {
        return idle.size() + openingCount;
    }

    /** Returns how many connections are leased. */
    int leasedCount() {
        return leasedCount;
    }

    /**
     * Returns whether no connection is usable and opening has failed for the unreachable timeout.
     */
    boolean isUnreachable() {
        long failingNanos = clock.nanoTime() - firstFailureNanos;
        return consecutiveFailures > 0
                && idle.isEmpty()
                && leasedCount == 0
                && failingNanos >= UNREACHABLE_TIMEOUT.toNanos();
    }

    /** Leases the connection that responded last. */
    Optional<PoolEntry> tryAcquire() {
        Optional<PoolEntry> next = Optional.ofNullable(idle.poll());
        next.ifPresent(p -> leasedCount++);
        return next;
    }

    /** Returns a leased connection to the idle ones, or closes it. */
    void release(PoolEntry entry, boolean clean, long leasedNanos, int limit) {
        leasedCount--;
        if (!clean) {
            entry.connection().close();
            pingSilent(leasedNanos);
            return;
        }
        recordResponse(entry);
        if (closed || openCount() >= limit) {
            entry.connection().close();
        } else {
            idle.push(entry);
        }
    }

    /**
     * Closes idle connections above the limit; below it, opens connections until the wanted number
     * is available.
     */
    void resize(int wanted, int limit) {
        while (openCount() > limit && !(idle.isEmpty() && suspects.isEmpty())) {
            closeOne();
        }
        int missing = wanted - availableCount();
        while (missing > 0 && canOpen()) {
            if (openCount() >= limit && !closeOverdueSuspect()) {
                return;
            }
            openingCount++;
            new OpenAttempt().start();
            missing--;
        }
    }

    /**
     * Pings the idle connection with the oldest response and the suspects, each at most once per
     * interval.
     */
    void pingStale() {
        long nowNanos = clock.nanoTime();
        long dueBefore = nowNanos - PING_INTERVAL.toNanos();
        idle.stream()
                .min(Comparator.comparingLong(p -> p.lastResponseNanos() - nowNanos))
                .filter(p -> p.lastResponseNanos() - dueBefore <= 0)
                .ifPresent(p -> ping(p, false));
        suspects.stream()
                .filter(p -> p.lastPingNanos() - dueBefore <= 0)
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

    private boolean canOpen() {
        return !closed
                && openingCount < MAX_PARALLEL_OPENS
                && clock.nanoTime() - openNotBeforeNanos >= 0;
    }

    /** Closes a suspect that did not respond to its ping, to make room for a new connection. */
    private boolean closeOverdueSuspect() {
        Optional<PoolEntry> overdue = suspects.stream().filter(this::isPingOverdue).findFirst();
        overdue.ifPresent(this::closeSuspect);
        return overdue.isPresent();
    }

    private void closeSuspect(PoolEntry entry) {
        suspects.remove(entry);
        entry.connection().close();
    }

    private boolean isPingOverdue(PoolEntry entry) {
        return clock.nanoTime() - entry.lastPingNanos() >= PING_TIMEOUT.toNanos();
    }

    private void recordResponse(PoolEntry entry) {
        lastResponseNanos = clock.nanoTime();
        entry.recordResponse(lastResponseNanos);
        suspects.stream().filter(this::isPingOverdue).toList().forEach(p -> ping(p, true));
    }

    private void closeOne() {
        if (suspects.isEmpty()) {
            idle.pollLast().connection().close();
        } else {
            closeSuspect(suspects.iterator().next());
        }
    }

    private void pingSilent(long sinceNanos) {
        List<PoolEntry> silent =
                idle.stream().filter(p -> p.lastResponseNanos() - sinceNanos < 0).toList();
        silent.forEach(p -> ping(p, false));
    }

    private void ping(PoolEntry entry, boolean isFinal) {
        idle.remove(entry);
        suspects.add(entry);
        long sentNanos = clock.nanoTime();
        entry.recordPing(sentNanos, isFinal);
        entry.connection()
                .ping(PING_TIMEOUT)
                .thenAcceptAsync(
                        result -> onPingResult(entry, result, sentNanos), context.executor());
    }

    private void onPingResult(PoolEntry entry, BackendResult result, long sentNanos) {
        if (!suspects.contains(entry) || entry.lastPingNanos() != sentNanos) {
            return;
        }
        if (result instanceof BackendResult.Done) {
            suspects.remove(entry);
            recordResponse(entry);
            idle.addLast(entry);
        } else {
            pingSilent(sentNanos);
            handleFailedPing(entry);
        }
        onChange.run();
    }

    /**
     * Pings a last time if another connection has responded since the failed ping. If the last ping
     * fails, retires the silent suspects.
     */
    private void handleFailedPing(PoolEntry entry) {
        if (entry.isFinalPing()) {
            retireSilentSuspects();
        } else if (lastResponseNanos - entry.lastPingNanos() > 0) {
            ping(entry, true);
        }
    }

    /** Retires together the suspects that did not respond while another connection did. */
    private void retireSilentSuspects() {
        List<PoolEntry> silent = suspects.stream().filter(PoolEntry::isFinalPing).toList();
        if (silent.isEmpty() || !silent.stream().allMatch(this::isPingOverdue)) {
            return;
        }
        silent.forEach(this::closeSuspect);
        context.metrics().recordRetired(silent.size());
        record(EventCode.CONNECTIONS_RETIRED, silent.size() + " connections stopped responding");
    }

    private void onOpened(BackendConnection connection) {
        long nowNanos = clock.nanoTime();
        context.metrics().recordOpened();
        if (consecutiveFailures > 0) {
            record(
                    EventCode.OPENING_RECOVERED,
                    "opened after " + consecutiveFailures + " failed attempts");
        }
        consecutiveFailures = 0;
        PoolEntry entry = new PoolEntry(connection, nowNanos);
        idle.push(entry);
        recordResponse(entry);
    }

    private void onOpenFailed(Throwable error, long startedNanos) {
        context.metrics().recordOpenFailure();
        firstFailureNanos = consecutiveFailures == 0 ? startedNanos : firstFailureNanos;
        consecutiveFailures++;
        Duration delay = backoff.delay(consecutiveFailures);
        openNotBeforeNanos = clock.nanoTime() + delay.toNanos();
        clock.schedule(() -> context.executor().execute(onChange), delay);
        if (consecutiveFailures == 1) {
            record(EventCode.OPENING_FAILED, String.valueOf(error));
        }
    }

    private void record(EventCode code, String detail) {
        EventScope scope = EventScope.of(context.group());
        context.events().record(code, scope, "instance " + backend.spec().id() + ": " + detail);
    }

    /** An attempt to open a connection; a connection that opens after the timeout is closed. */
    private final class OpenAttempt {
        private final long startedNanos = clock.nanoTime();
        private boolean completed;

        private void start() {
            clock.schedule(() -> context.executor().execute(this::timeOut), OPEN_TIMEOUT);
            backend.openConnection(OPEN_TIMEOUT)
                    .whenCompleteAsync(this::complete, context.executor());
        }

        private void timeOut() {
            complete(null, new IllegalStateException("no connection within " + OPEN_TIMEOUT));
        }

        private void complete(BackendConnection connection, Throwable error) {
            if (completed || closed) {
                Optional.ofNullable(connection).ifPresent(BackendConnection::close);
                return;
            }
            completed = true;
            openingCount--;
            if (error == null) {
                onOpened(connection);
            } else {
                onOpenFailed(error, startedNanos);
            }
            onChange.run();
        }
    }
}
