package org.carobstage.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;

/** Runs tasks one at a time in their order. */
public interface BoundedExecutor extends Executor {
    /**
     * Runs a task later if there is room for it.
     *
     * @param task the task
     * @return false if there is no room; the task will not run
     */
    boolean offer(Runnable task);

    /**
     * Creates an executor without a thread: the caller's thread runs the tasks, one after the
     * other, before the outermost call returns. For tests on a paused clock.
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
