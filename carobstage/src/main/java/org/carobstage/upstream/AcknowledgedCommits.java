package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.StatementResult;

/** The newest commit of this process that was acknowledged, which a failover must keep. */
final class AcknowledgedCommits {
    private LogPosition newest = LogPosition.empty();

    private AcknowledgedCommits() {}

    static AcknowledgedCommits empty() {
        return new AcknowledgedCommits();
    }

    /** Returns the newest acknowledged position, the lowest one before the first commit. */
    LogPosition newest() {
        return newest;
    }

    /** Records the position of an acknowledged commit. */
    void record(LogPosition position) {
        newest = newest.max(requireNonNull(position, "position is null"));
    }

    /** Records the result of a commit, whether or not its sender still awaits it. */
    void complete(Optional<StatementResult> result) {
        result.filter(StatementResult::isSuccessful)
                .flatMap(StatementResult::logPosition)
                .ifPresent(this::record);
    }
}
