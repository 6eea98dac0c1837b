package org.carobstage.runtime;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.locks.LockSupport;

/** An executor that runs its tasks one at a time on the thread of a duty. */
public final class SerialExecutor implements BoundedExecutor, AutoCloseable {
    private static final long FULL_RING_PAUSE_NANOS = 50_000;

    private final WorkerThread<Runnable> duty;
    private final ThreadLocal<Boolean> inside = ThreadLocal.withInitial(() -> false);

    private SerialExecutor(String name, int capacity) {
        this.duty = WorkerThread.of(name, capacity, this::runInside);
    }

    /**
     * Creates an executor and starts its thread.
     *
     * @param name the name of the thread
     * @param capacity how many tasks may wait
     * @return the executor
     */
    public static SerialExecutor of(String name, int capacity) {
        requireNonNull(name, "name is null");
        return new SerialExecutor(name, capacity);
    }

    @Override
    public boolean offer(Runnable task) {
        return duty.offer(task);
    }

    /**
     * Runs a task: at once on the duty's own thread, otherwise later; waits while the ring is full.
     *
     * @param task the task
     */
    @Override
    public void execute(Runnable task) {
        requireNonNull(task, "task is null");
        if (inside.get()) {
            task.run();
            return;
        }
        while (!duty.offer(task) && !duty.isClosed()) {
            LockSupport.parkNanos(FULL_RING_PAUSE_NANOS);
        }
    }

    @Override
    public void close() {
        duty.close();
    }

    private void runInside(Runnable task) {
        inside.set(true);
        task.run();
    }
}
