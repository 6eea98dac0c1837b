package org.carobstage.runtime;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that only changes when it is advanced; timers run on the thread that advances it. */
public final class ManualClock implements Clock {
    private static final Comparator<Scheduled> ORDER =
            Comparator.comparingLong(Scheduled::dueNanos).thenComparingLong(Scheduled::number);

    private final PriorityQueue<Scheduled> timers = new PriorityQueue<>(ORDER);
    private Instant instant;
    private long nanos;
    private long nextNumber;

    private ManualClock(Instant instant) {
        this.instant = instant;
    }

    /**
     * Creates a clock.
     *
     * @param instant the initial time of day
     * @return the clock
     */
    public static ManualClock of(Instant instant) {
        return new ManualClock(requireNonNull(instant, "instant is null"));
    }

    @Override
    public long nanoTime() {
        return nanos;
    }

    @Override
    public Instant instant() {
        return instant;
    }

    @Override
    public Timer schedule(Runnable task, Duration delay) {
        requireNonNull(task, "task is null");
        Scheduled timer = new Scheduled(nanos + delay.toNanos(), nextNumber++, task);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    /**
     * Advances the clock and runs the timers that become due, each at its due time.
     *
     * @param step the duration by which to advance
     */
    public void advance(Duration step) {
        long end = nanos + step.toNanos();
        while (!timers.isEmpty() && timers.peek().dueNanos() - end <= 0) {
            Scheduled timer = timers.poll();
            moveTo(Math.max(timer.dueNanos(), nanos));
            timer.task().run();
        }
        moveTo(end);
    }

    /**
     * Suspends the machine: the time of day advances, the monotonic clock and its timers do not.
     *
     * @param length the duration of the suspension
     */
    public void suspend(Duration length) {
        instant = instant.plus(length);
    }

    /**
     * Stops this process: both clocks advance, timers that become due run late.
     *
     * @param length the duration of the pause
     */
    public void pause(Duration length) {
        moveTo(nanos + length.toNanos());
    }

    private void moveTo(long targetNanos) {
        instant = instant.plusNanos(targetNanos - nanos);
        nanos = targetNanos;
    }

    private record Scheduled(long dueNanos, long number, Runnable task) {}
}
