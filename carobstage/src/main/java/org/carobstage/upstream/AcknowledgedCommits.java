package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.StatementResult;

/**
 * The commits of this process that a failover must keep: the newest acknowledged one and those in
 * flight, at whichever primary.
 */
final class AcknowledgedCommits {
    private final Set<TrackedCommit> inFlight = new HashSet<>();
    private LogPosition newest = LogPosition.empty();

    private AcknowledgedCommits() {}

    static AcknowledgedCommits empty() {
        return new AcknowledgedCommits();
    }

    /** Returns the newest acknowledged position, the lowest one before the first commit. */
    LogPosition newest() {
        return newest;
    }

    /** Returns whether the position of a commit that was acknowledged may not be known yet. */
    boolean isIncomplete() {
        return !inFlight.isEmpty();
    }

    /** Records the position of an acknowledged commit. */
    void record(LogPosition position) {
        newest = newest.max(requireNonNull(position, "position is null"));
    }

    /** Records that a commit is sent. */
    void add(TrackedCommit commit) {
        inFlight.add(requireNonNull(commit, "commit is null"));
    }

    /** Records the result of a commit, whether or not its sender still awaits it. */
    void complete(TrackedCommit commit, Optional<StatementResult> result) {
        inFlight.remove(commit);
        result.filter(StatementResult::isSuccessful)
                .flatMap(StatementResult::logPosition)
                .ifPresent(this::record);
    }
}
