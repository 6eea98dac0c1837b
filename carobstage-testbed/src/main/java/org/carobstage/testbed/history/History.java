package org.carobstage.testbed.history;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;

/** Collects the operations of callers and the load samples of instances; thread-safe. */
public final class History {
    private final Queue<Operation> operations = new ConcurrentLinkedQueue<>();
    private final Queue<LimitSample> samples = new ConcurrentLinkedQueue<>();
    private final AtomicReference<List<Entry>> finalEntries = new AtomicReference<>();

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
     * Adds a completed operation.
     *
     * @param operation the operation
     */
    public void add(Operation operation) {
        operations.add(requireNonNull(operation, "operation is null"));
    }

    /**
     * Adds a load sample of an instance.
     *
     * @param sample the sample
     */
    public void add(LimitSample sample) {
        samples.add(requireNonNull(sample, "sample is null"));
    }

    /**
     * Sets the entries in the primary's table after the last operation.
     *
     * @param entries all entries of the table
     */
    public void setFinalEntries(List<Entry> entries) {
        finalEntries.set(List.copyOf(entries));
    }

    /**
     * Returns the operations in insertion order.
     *
     * @return the operations so far
     */
    public List<Operation> operations() {
        return List.copyOf(operations);
    }

    /**
     * Checks the history.
     *
     * @return all violations, empty if there are none
     * @throws IllegalStateException if the final entries are not set
     */
    public List<Violation> check() {
        if (finalEntries.get() == null) {
            throw new IllegalStateException("final entries are not set");
        }
        return HistoryChecker.of(operations(), List.copyOf(samples), finalEntries.get()).check();
    }
}
