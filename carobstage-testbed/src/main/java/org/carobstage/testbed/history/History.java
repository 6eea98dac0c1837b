package org.carobstage.testbed.history;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;

/** Gathers the operations of callers; any thread may add to it. */
public final class History {
    private final Queue<Operation> operations = new ConcurrentLinkedQueue<>();
    private final Queue<LimitSample> samples = new ConcurrentLinkedQueue<>();
    private final AtomicReference<List<Entry>> last = new AtomicReference<>();

    private History() {}

    /**
     * Creates a history without operations.
     *
     * @return the history
     */
    public static History empty() {
        return new History();
    }

    /**
     * Adds an operation whose outcome is known.
     *
     * @param operation the operation
     */
    public void add(Operation operation) {
        operations.add(requireNonNull(operation, "operation is null"));
    }

    /**
     * Adds what an instance bore.
     *
     * @param sample the sample
     */
    public void add(LimitSample sample) {
        samples.add(requireNonNull(sample, "sample is null"));
    }

    /**
     * Sets what the primary's table holds after the last operation.
     *
     * @param entries every row
     */
    public void setFinalEntries(List<Entry> entries) {
        last.set(List.copyOf(entries));
    }

    /**
     * Returns the operations in the order in which they were added.
     *
     * @return the operations so far
     */
    public List<Operation> operations() {
        return List.copyOf(operations);
    }

    /**
     * Checks the history.
     *
     * @return every violation found, none for a clean history
     * @throws IllegalStateException if the history is not finished
     */
    public List<Violation> check() {
        if (last.get() == null) {
            throw new IllegalStateException("history is not finished");
        }
        return HistoryChecker.of(operations(), List.copyOf(samples), last.get()).check();
    }
}
