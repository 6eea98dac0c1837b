package org.carobstage.testbed.local;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.Clock;

/** The clock and the duty of an entry VM that can be paused: what falls due waits until then. */
final class PausableVm implements BoundedExecutor, Clock {
    private final Clock clock;
    private final BoundedExecutor duty = BoundedExecutor.inline();
    private final Deque<Runnable> held = new ArrayDeque<>();
    private boolean paused;

    PausableVm(Clock clock) {
        this.clock = clock;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!held.isEmpty()) {
            held.poll().run();
        }
    }

    @Override
    public boolean offer(Runnable task) {
        execute(task);
        return true;
    }

    @Override
    public void execute(Runnable task) {
        whenRunning(() -> duty.execute(task));
    }

    @Override
    public long nanoTime() {
        return clock.nanoTime();
    }

    @Override
    public Instant instant() {
        return clock.instant();
    }

    @Override
    public Timer schedule(Runnable task, Duration delay) {
        return clock.schedule(() -> whenRunning(task), delay);
    }

    private void whenRunning(Runnable task) {
        if (paused) {
            held.add(task);
        } else {
            task.run();
        }
    }
}
