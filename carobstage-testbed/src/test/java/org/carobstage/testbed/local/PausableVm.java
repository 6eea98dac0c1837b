package org.carobstage.testbed.local;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.Clock;

/** Clock and executor of an entry VM; tasks that come due during a pause run when it resumes. */
final class PausableVm implements BoundedExecutor, Clock {
    private final Clock clock;
    private final BoundedExecutor executor = BoundedExecutor.inline();
    private final Deque<Runnable> deferredTasks = new ArrayDeque<>();
    private boolean paused;

    PausableVm(Clock clock) {
        this.clock = clock;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!deferredTasks.isEmpty()) {
            deferredTasks.poll().run();
        }
    }

    @Override
    public boolean offer(Runnable task) {
        execute(task);
        return true;
    }

    @Override
    public void execute(Runnable task) {
        runOrDefer(() -> executor.execute(task));
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
        return clock.schedule(() -> runOrDefer(task), delay);
    }

    private void runOrDefer(Runnable task) {
        if (paused) {
            deferredTasks.add(task);
        } else {
            task.run();
        }
    }
}
