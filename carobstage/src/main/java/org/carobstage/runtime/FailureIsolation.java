package org.carobstage.runtime;

import static java.util.Objects.requireNonNull;

import java.util.function.BiConsumer;

/** Runs tasks so that an unexpected exception of one does not prevent the others from running. */
public final class FailureIsolation {
    private final BiConsumer<String, RuntimeException> onFailure;

    private FailureIsolation(BiConsumer<String, RuntimeException> onFailure) {
        this.onFailure = onFailure;
    }

    /**
     * Creates an isolation.
     *
     * @param onFailure receives the name of a failed task and its exception
     * @return the isolation
     */
    public static FailureIsolation of(BiConsumer<String, RuntimeException> onFailure) {
        return new FailureIsolation(requireNonNull(onFailure, "onFailure is null"));
    }

    /**
     * Runs a task; an exception or an overflow of the stack is reported and not thrown.
     *
     * @param name what the task does, for the report
     * @param task the task
     */
    public void run(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            onFailure.accept(name, e);
        } catch (StackOverflowError e) {
            onFailure.accept(name, new IllegalStateException("the stack overflowed", e));
        }
    }
}
