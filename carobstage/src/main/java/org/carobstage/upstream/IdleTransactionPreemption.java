package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Selects the idle transaction to roll back for a request that needs its connection. */
final class IdleTransactionPreemption {
    /** Clients that work on a transaction send its next statement within this time. */
    private static final Duration MIN_IDLE = Duration.ofSeconds(1);

    private IdleTransactionPreemption() {}

    /**
     * Selects the transaction that has been idle for longest, if transactions pin all connections
     * and a request would miss its target latency waiting for the first one to expire.
     *
     * @param idle the idle transactions
     * @param waiting the requests that wait for these connections
     * @param pins the connections and those pinned
     * @param nowNanos the current monotonic time in ns
     * @param serviceTime how long a statement takes once it has a connection
     * @return the transaction to roll back, if any
     */
    static Optional<IdleTransaction> select(
            Collection<IdleTransaction> idle,
            Collection<WaitingRequest> waiting,
            Pins pins,
            long nowNanos,
            Duration serviceTime) {
        requireNonNull(pins, "pins is null");
        Optional<Duration> release =
                idle.stream()
                        .map(t -> Duration.ofNanos(Math.max(0, t.expiresNanos() - nowNanos)))
                        .min(Duration::compareTo);
        long delayed =
                release.stream()
                        .flatMap(
                                r ->
                                        waiting.stream()
                                                .filter(w -> isLate(w, r, nowNanos, serviceTime)))
                        .count();
        boolean needed = pins.pinned() >= pins.limit() && delayed > pins.endingCount();
        return idle.stream()
                .filter(t -> needed && nowNanos - t.sinceNanos() > MIN_IDLE.toNanos())
                .max(Comparator.comparingLong(t -> nowNanos - t.sinceNanos()));
    }

    /** Returns whether a transaction can be rolled back before a deadline if it stays idle. */
    static boolean mayOccurBefore(long deadlineNanos, Collection<IdleTransaction> idle) {
        return idle.stream().anyMatch(t -> t.sinceNanos() + MIN_IDLE.toNanos() - deadlineNanos < 0);
    }

    private static boolean isLate(
            WaitingRequest waiting, Duration release, long nowNanos, Duration serviceTime) {
        return waiting.missesTarget(nowNanos, release.plus(serviceTime));
    }

    /**
     * The connections of this process to an instance.
     *
     * @param limit how many it may have
     * @param pinned how many transactions hold
     * @param endingCount how many of these are being rolled back for a request
     */
    record Pins(int limit, int pinned, int endingCount) {}
}
