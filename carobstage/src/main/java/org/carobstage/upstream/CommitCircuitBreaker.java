package org.carobstage.upstream;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A circuit breaker for commits. A primary without a receiving replica answers reads but
 * acknowledges no commits; commits sent to it would hold its slots and connections until they time
 * out.
 */
public final class CommitCircuitBreaker {
    /**
     * A commit takes its execution time and a replication delay; this is several times their sum.
     */
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(500);

    private final Set<InFlightCommit> pending = new LinkedHashSet<>();
    private boolean open;
    private long nextProbeNanos;

    private CommitCircuitBreaker() {}

    /**
     * Creates a closed breaker, which permits commits.
     *
     * @return the breaker
     */
    public static CommitCircuitBreaker closed() {
        return new CommitCircuitBreaker();
    }

    /**
     * Returns whether a commit may be sent.
     *
     * @param now the monotonic time
     * @return false while earlier commits are unanswered, except for one probe per interval
     */
    boolean tryAcquirePermission(long now) {
        boolean stalled =
                pending.stream().anyMatch(c -> now - c.sentNanos >= STALL_TIMEOUT.toNanos());
        if (stalled && !open) {
            open = true;
            nextProbeNanos = now + STALL_TIMEOUT.toNanos();
        }
        if (open && now - nextProbeNanos >= 0) {
            nextProbeNanos = now + STALL_TIMEOUT.toNanos();
            return true;
        }
        return !open;
    }

    /** Returns whether a commit is neither answered nor abandoned. */
    boolean hasPendingCommits() {
        return !pending.isEmpty();
    }

    /**
     * Records that a commit is sent.
     *
     * @param now the monotonic time
     * @return the commit, whose outcome must be reported
     */
    InFlightCommit trackCommit(long now) {
        InFlightCommit commit = new InFlightCommit(now);
        pending.add(commit);
        return commit;
    }

    /** A commit that has been sent. */
    public final class InFlightCommit {
        private final long sentNanos;

        private InFlightCommit(long sentNanos) {
            this.sentNanos = sentNanos;
        }

        /**
         * Records the end of the exchange. An answer closes the breaker; a lost connection does
         * not, since it is no evidence about other commits.
         *
         * @param answered whether the instance has answered
         */
        public void complete(boolean answered) {
            open &= !answered;
            pending.remove(this);
        }

        /**
         * Records that the sender stopped waiting for the answer, and opens the breaker.
         *
         * @param now the monotonic time
         */
        public void abandon(long now) {
            open = true;
            nextProbeNanos = now + STALL_TIMEOUT.toNanos();
            pending.remove(this);
        }
    }
}
