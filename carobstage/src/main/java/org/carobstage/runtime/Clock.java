package org.carobstage.runtime;

import static java.util.Objects.requireNonNull;

import io.servicetalk.concurrent.api.Executor;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

/** The runtime's clock: monotonic time, time of day and timers. Tests use a {@link ManualClock}. */
public interface Clock {
    /**
     * Returns the monotonic time.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nanoTime();

    /**
     * Returns the time of day.
     *
     * @return the current instant
     */
    Instant instant();

    /**
     * Runs a task later.
     *
     * @param task the task
     * @param delay how long to wait
     * @return a handle that cancels the task
     */
    Timer schedule(Runnable task, Duration delay);

    /**
     * Creates the clock of a ServiceTalk executor.
     *
     * @param executor the executor that provides the time and runs the timers
     * @return the clock
     */
    static Clock of(Executor executor) {
        requireNonNull(executor, "executor is null");
        return new ExecutorClock(executor);
    }

    /** A scheduled task that can be cancelled. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the task if it has not started. */
        void cancel();
    }

    /** A clock that uses the time and timers of an executor. */
    final class ExecutorClock implements Clock {
        private final Executor executor;

        private ExecutorClock(Executor executor) {
            this.executor = executor;
        }

        @Override
        public long nanoTime() {
            return executor.currentTime(TimeUnit.NANOSECONDS);
        }

        @Override
        public Instant instant() {
            return Instant.now();
        }

        @Override
        public Timer schedule(Runnable task, Duration delay) {
            return executor.schedule(task, delay)::cancel;
        }
    }
}
