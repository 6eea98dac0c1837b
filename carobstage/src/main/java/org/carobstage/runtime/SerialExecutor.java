package org.carobstage.runtime;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.locks.LockSupport;

/** An executor that runs its tasks one at a time on a worker thread. */
public final class SerialExecutor implements BoundedExecutor, AutoCloseable {
    private static final long QUEUE_FULL_PARK_NANOS = 50_000;

    private final WorkerThread<Runnable> workerThread;
    private final ThreadLocal<Boolean> onWorkerThread = ThreadLocal.withInitial(() -> false);

    private SerialExecutor(String name, int capacity) {
        this.workerThread = WorkerThread.of(name, capacity, this::runOnWorkerThread);
    }

    /**
     * Creates an executor and starts its thread.
     *
     * @param name the name of the thread
     * @param capacity the capacity of the queue
     * @return the executor
     */
    public static SerialExecutor of(String name, int capacity) {
        requireNonNull(name, "name is null");
        return new SerialExecutor(name, capacity);
    }

    @Override
    public boolean offer(Runnable task) {
        return workerThread.offer(task);
    }

    /**
     * Runs a task: immediately if called on the worker thread, otherwise from the queue. Blocks
     * while the queue is full.
     *
     * @param task the task
     */
    @Override
    public void execute(Runnable task) {
        requireNonNull(task, "task is null");
        if (onWorkerThread.get()) {
            task.run();
            return;
        }
        while (!workerThread.offer(task) && !workerThread.isClosed()) {
            LockSupport.parkNanos(QUEUE_FULL_PARK_NANOS);
        }
    }

    @Override
    public void close() {
        workerThread.close();
    }

    private void runOnWorkerThread(Runnable task) {
        onWorkerThread.set(true);
        task.run();
    }
}
