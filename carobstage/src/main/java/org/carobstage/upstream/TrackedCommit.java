package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.runtime.Clock;
import org.carobstage.sql.StatementResult;

/** A commit or single write that was sent; its sender reports how the exchange ended. */
public final class TrackedCommit {
    private final Clock clock;
    private final CommitCircuitBreaker.InFlightCommit exchange;
    private final AcknowledgedCommits acknowledgedCommits;

    private TrackedCommit(
            Clock clock,
            CommitCircuitBreaker.InFlightCommit exchange,
            AcknowledgedCommits acknowledgedCommits) {
        this.clock = requireNonNull(clock, "clock is null");
        this.exchange = requireNonNull(exchange, "exchange is null");
        this.acknowledgedCommits =
                requireNonNull(acknowledgedCommits, "acknowledgedCommits is null");
    }

    static TrackedCommit of(
            Clock clock,
            CommitCircuitBreaker.InFlightCommit exchange,
            AcknowledgedCommits acknowledgedCommits) {
        TrackedCommit commit = new TrackedCommit(clock, exchange, acknowledgedCommits);
        acknowledgedCommits.add(commit);
        return commit;
    }

    /**
     * Records the end of the exchange, also if no client waits for the result any more.
     *
     * @param result the result, or empty if the connection was lost
     */
    public void complete(Optional<StatementResult> result) {
        exchange.complete(result.isPresent());
        acknowledgedCommits.complete(this, result);
    }

    /** Records that the sender stopped waiting for the result. */
    public void abandon() {
        exchange.abandon(clock.nanoTime());
        acknowledgedCommits.complete(this, Optional.empty());
    }
}
