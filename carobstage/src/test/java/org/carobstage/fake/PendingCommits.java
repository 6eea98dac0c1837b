package org.carobstage.fake;

import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.carobstage.model.LogPosition;

/** The commits of a primary that no replica has received yet. */
final class PendingCommits {
    private final TreeMap<LogPosition, Consumer<Boolean>> commits = new TreeMap<>();

    /** Adds a commit; the callback receives whether it is acknowledged. */
    void add(LogPosition position, Consumer<Boolean> onEnded) {
        commits.put(position, onEnded);
    }

    /** Acknowledges the commits up to a position that a replica has received, in their order. */
    void acknowledge(LogPosition received) {
        end(List.copyOf(commits.headMap(received, true).keySet()), true);
    }

    /** Ends all commits without an acknowledgement. */
    void drop() {
        end(List.copyOf(commits.keySet()), false);
    }

    private void end(Iterable<LogPosition> positions, boolean acknowledged) {
        positions.forEach(position -> commits.remove(position).accept(acknowledged));
    }
}
