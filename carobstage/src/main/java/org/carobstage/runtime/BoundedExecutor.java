package org.carobstage.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;

/** Runs tasks one at a time in the order of submission. */
public interface BoundedExecutor extends Executor {
    /**
     * Enqueues a task if the queue has room for it.
     *
     * @param task the task
     * @return false if the task was not accepted and will not run
     */
    boolean offer(Runnable task);

    /**
     * Creates an executor without a thread: the caller's thread runs the tasks, one after the
     * other, before the outermost call returns. For tests with a {@link ManualClock}.
     *
     * @return the executor
     */
    static BoundedExecutor inline() {
        return new Inline();
    }

    /** Runs tasks on the thread of the outermost call. */
    final class Inline implements BoundedExecutor {
        private final Deque<Runnable> tasks = new ArrayDeque<>();
        private boolean running;

        private Inline() {}

        @Override
        public boolean offer(Runnable task) {
            execute(task);
            return true;
        }

        @Override
        public void execute(Runnable task) {
            tasks.add(task);
            if (running) {
                return;
            }
            running = true;
            try {
                while (!tasks.isEmpty()) {
                    tasks.poll().run();
                }
            } finally {
                running = false;
            }
        }
    }
}
