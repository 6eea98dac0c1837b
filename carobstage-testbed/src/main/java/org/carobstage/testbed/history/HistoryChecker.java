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

/** Checks a whole history; entries are only added and each identifier belongs to one write. */
final class HistoryChecker {
    private final List<LimitSample> samples;
    private final List<Entry> last;
    private final Map<Long, Operation> writers = new HashMap<>();
    private final Map<String, List<Operation>> adds;
    private final List<Operation> reads;
    private final List<Violation> found = new ArrayList<>();

    private HistoryChecker(
            List<Operation> operations, List<LimitSample> samples, List<Entry> last) {
        this.samples = samples;
        this.last = last;
        this.adds =
                operations.stream()
                        .filter(o -> o.action() instanceof Add)
                        .collect(groupingBy(Operation::owner));
        this.reads =
                operations.stream()
                        .filter(o -> o.action() instanceof ListEntries)
                        .filter(o -> o.outcome() == Outcome.DONE)
                        .toList();
        adds.values().forEach(list -> list.forEach(o -> ids(o).forEach(id -> writers.put(id, o))));
    }

    static HistoryChecker of(
            List<Operation> operations, List<LimitSample> samples, List<Entry> last) {
        return new HistoryChecker(operations, samples, last);
    }

    List<Violation> check() {
        samples.stream().filter(s -> !s.isWithinLimits()).forEach(s -> report(Kind.LIMIT, s));
        reads.forEach(this::checkRead);
        checkMonotonic();
        checkRows(last, "at the end");
        checkLast();
        return List.copyOf(found);
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
        Set<Long> seen = ids(list);
        List<Operation> candidates = adds.getOrDefault(read.owner(), List.of());
        candidates.stream()
                .filter(add -> add.outcome() == Outcome.DONE)
                .filter(add -> !seen.containsAll(ids(add)))
                .forEach(add -> checkMissing(add, read, list));
        candidates.forEach(add -> checkWhole(add, seen, read));
    }

    private void checkMissing(Operation add, Operation read, ListEntries list) {
        String detail = add + " is missing in " + read;
        if (add.session().equals(read.session()) && add.endsBefore(read)) {
            report(Kind.READ_YOUR_WRITES, detail);
        }
        long oldest = read.startNanos() - list.staleness().toNanos();
        if (add.endNanos() - oldest < 0) {
            report(list.staleness().isZero() ? Kind.CURRENT_READ : Kind.STALENESS, detail);
        }
    }

    private void checkWhole(Operation add, Set<Long> seen, Object where) {
        long present = ids(add).stream().filter(seen::contains).count();
        if (present != 0 && present != ids(add).size()) {
            report(Kind.TRANSACTION_SPLIT, add + " in " + where);
        }
    }

    /** Checks rows of any answer: each is known, ran by right, and stands once. */
    private void checkRows(List<Entry> rows, Object where) {
        Set<Long> once = new HashSet<>();
        for (Entry row : rows) {
            Operation writer = writers.get(row.id());
            if (!once.add(row.id())) {
                report(Kind.DOUBLED, row + " in " + where);
            }
            if (writer == null || !writer.owner().equals(row.owner())) {
                report(Kind.FOREIGN_ANSWER, row + " in " + where);
            } else if (writer.outcome() == Outcome.NOT_RUN) {
                report(Kind.NOT_RUN_RAN, writer + " in " + where);
            }
        }
    }

    private void checkMonotonic() {
        reads.stream()
                .collect(groupingBy(r -> r.session() + '\n' + r.owner()))
                .values()
                .forEach(this::checkMonotonic);
    }

    private void checkMonotonic(List<Operation> same) {
        for (Operation later : same) {
            Set<Long> seen = ids((ListEntries) later.action());
            same.stream()
                    .filter(earlier -> earlier.endsBefore(later))
                    .filter(earlier -> !seen.containsAll(ids((ListEntries) earlier.action())))
                    .forEach(e -> report(Kind.MONOTONIC_READS, e + " and later " + later));
        }
    }

    private void checkLast() {
        Set<Long> kept = last.stream().map(Entry::id).collect(toSet());
        adds.values().stream()
                .flatMap(List::stream)
                .forEach(
                        add -> {
                            checkWhole(add, kept, "at the end");
                            boolean lost = !kept.containsAll(ids(add));
                            if (lost && add.outcome() == Outcome.DONE) {
                                report(Kind.LOST, add);
                            }
                        });
    }

    private void report(Kind kind, Object detail) {
        found.add(new Violation(kind, detail.toString()));
    }

    private static List<Long> ids(Operation add) {
        return ((Add) add.action()).ids();
    }

    private static Set<Long> ids(ListEntries list) {
        return list.seen().stream().map(Entry::id).collect(toSet());
    }
}
