package org.carobstage.testbed.history;

import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.toSet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobstage.testbed.history.Operation.Add;
import org.carobstage.testbed.history.Operation.ListEntries;
import org.carobstage.testbed.history.Operation.Outcome;
import org.carobstage.testbed.history.Violation.Kind;

/**
 * Checks a complete history. It relies on entries never being updated or deleted, and on each
 * identifier being written by one operation only.
 */
final class HistoryChecker {
    private final List<LimitSample> samples;
    private final List<Entry> finalEntries;
    private final Map<Long, Operation> writersById = new HashMap<>();
    private final Map<String, List<Operation>> addsByOwner;
    private final List<Operation> completedReads;
    private final List<Violation> violations = new ArrayList<>();

    private HistoryChecker(
            List<Operation> operations, List<LimitSample> samples, List<Entry> finalEntries) {
        this.samples = samples;
        this.finalEntries = finalEntries;
        this.addsByOwner =
                operations.stream()
                        .filter(o -> o.action() instanceof Add)
                        .collect(groupingBy(Operation::owner));
        this.completedReads =
                operations.stream()
                        .filter(o -> o.action() instanceof ListEntries)
                        .filter(o -> o.outcome() == Outcome.DONE)
                        .toList();
        addsByOwner
                .values()
                .forEach(list -> list.forEach(o -> ids(o).forEach(id -> writersById.put(id, o))));
    }

    static HistoryChecker of(
            List<Operation> operations, List<LimitSample> samples, List<Entry> finalEntries) {
        return new HistoryChecker(operations, samples, finalEntries);
    }

    List<Violation> check() {
        samples.stream().filter(s -> !s.isWithinLimits()).forEach(s -> report(Kind.LIMIT, s));
        completedReads.forEach(this::checkRead);
        checkMonotonicReads();
        checkRows(finalEntries, "the final entries");
        checkFinalEntries();
        return List.copyOf(violations);
    }

    private void checkRead(Operation read) {
        ListEntries list = (ListEntries) read.action();
        if (list.end() != list.seen().size()) {
            report(Kind.PARTIAL_ANSWER, read);
        }
        list.seen().stream()
                .filter(e -> !e.owner().equals(read.owner()))
                .forEach(e -> report(Kind.FOREIGN_ANSWER, e + " in " + read));
        checkRows(list.seen(), read);
        Set<Long> seenIds = ids(list);
        List<Operation> addsOfOwner = addsByOwner.getOrDefault(read.owner(), List.of());
        addsOfOwner.stream()
                .filter(add -> add.outcome() == Outcome.DONE)
                .filter(add -> !seenIds.containsAll(ids(add)))
                .forEach(add -> checkMissing(add, read, list));
        addsOfOwner.forEach(add -> checkAtomicity(add, seenIds, read));
    }

    private void checkMissing(Operation add, Operation read, ListEntries list) {
        String detail = add + " is missing in " + read;
        if (add.session().equals(read.session()) && add.endsBefore(read)) {
            report(Kind.READ_YOUR_WRITES, detail);
        }
        long staleBeforeNanos = read.startNanos() - list.staleness().toNanos();
        if (add.endNanos() - staleBeforeNanos < 0) {
            report(list.staleness().isZero() ? Kind.CURRENT_READ : Kind.STALENESS, detail);
        }
    }

    private void checkAtomicity(Operation add, Set<Long> seenIds, Object location) {
        long presentCount = ids(add).stream().filter(seenIds::contains).count();
        if (presentCount != 0 && presentCount != ids(add).size()) {
            report(Kind.TRANSACTION_SPLIT, add + " in " + location);
        }
    }

    /**
     * Checks that each row occurs once, that a write of the same owner added it, and that this
     * write was not reported as not run.
     */
    private void checkRows(List<Entry> rows, Object location) {
        Set<Long> idsSoFar = new HashSet<>();
        for (Entry row : rows) {
            Operation writer = writersById.get(row.id());
            if (!idsSoFar.add(row.id())) {
                report(Kind.DOUBLED, row + " in " + location);
            }
            if (writer == null || !writer.owner().equals(row.owner())) {
                report(Kind.FOREIGN_ANSWER, row + " in " + location);
            } else if (writer.outcome() == Outcome.NOT_RUN) {
                report(Kind.NOT_RUN_RAN, writer + " in " + location);
            }
        }
    }

    private void checkMonotonicReads() {
        completedReads.stream()
                .collect(groupingBy(r -> r.session() + '\n' + r.owner()))
                .values()
                .forEach(this::checkMonotonicReads);
    }

    private void checkMonotonicReads(List<Operation> reads) {
        for (Operation later : reads) {
            Set<Long> seenIds = ids((ListEntries) later.action());
            reads.stream()
                    .filter(earlier -> earlier.endsBefore(later))
                    .filter(earlier -> !seenIds.containsAll(ids((ListEntries) earlier.action())))
                    .forEach(e -> report(Kind.MONOTONIC_READS, e + " and later " + later));
        }
    }

    private void checkFinalEntries() {
        Set<Long> finalIds = finalEntries.stream().map(Entry::id).collect(toSet());
        addsByOwner.values().stream()
                .flatMap(List::stream)
                .forEach(
                        add -> {
                            checkAtomicity(add, finalIds, "the final entries");
                            boolean isLost = !finalIds.containsAll(ids(add));
                            if (isLost && add.outcome() == Outcome.DONE) {
                                report(Kind.LOST, add);
                            }
                        });
    }

    private void report(Kind kind, Object detail) {
        violations.add(new Violation(kind, detail.toString()));
    }

    private static List<Long> ids(Operation add) {
        return ((Add) add.action()).ids();
    }

    private static Set<Long> ids(ListEntries list) {
        return list.seen().stream().map(Entry::id).collect(toSet());
    }
}
