package org.carobstage.freshness;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.carobstage.model.InstanceId;

/** The instances that were removed from a quorum recently, with their last reports. */
final class RemovedInstances {
    /** Longer than a removed instance can hold acknowledged commits that no other one has. */
    private static final Duration RETENTION = Duration.ofSeconds(60);

    private static final int MAX_COUNT = 16;

    private final Deque<Removal> removals = new ArrayDeque<>();

    private RemovedInstances() {}

    static RemovedInstances empty() {
        return new RemovedInstances();
    }

    /** Adds an instance with its last report. */
    void add(InstanceReport report, ClockReading now) {
        remove(report.instance());
        removals.addLast(new Removal(report, now));
        if (removals.size() > MAX_COUNT) {
            removals.removeFirst();
        }
    }

    /** Removes an instance that was added to the quorum again. */
    void remove(InstanceId id) {
        removals.removeIf(r -> r.report().instance().equals(id));
    }

    /** Describes the instances for a log line. */
    List<String> describe(ClockReading now) {
        removals.removeIf(r -> r.at().age(now).compareTo(RETENTION) > 0);
        return removals.stream()
                .map(r -> r.report().describe(now) + " removed_ms=" + r.at().age(now).toMillis())
                .toList();
    }

    private record Removal(InstanceReport report, ClockReading at) {}
}
