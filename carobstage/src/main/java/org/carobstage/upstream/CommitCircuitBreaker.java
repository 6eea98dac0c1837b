package org.carobstage.upstream;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A circuit breaker for commits. A primary without a receiving replica executes reads but
 * acknowledges no commits; commits sent to it would hold its slots and connections until they time
 * out. While the breaker is open, one commit per interval is sent as a probe, to detect when
 * commits are acknowledged again.
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
     * @param nowNanos the current monotonic time in ns
     * @return false while earlier commits have no response, except for one probe per interval
     */
    boolean tryAcquirePermission(long nowNanos) {
        boolean stalled =
                pending.stream().anyMatch(c -> nowNanos - c.sentNanos >= STALL_TIMEOUT.toNanos());
        if (stalled && !open) {
            open = true;
            nextProbeNanos = nowNanos + STALL_TIMEOUT.toNanos();
        }
        if (open && nowNanos - nextProbeNanos >= 0) {
            nextProbeNanos = nowNanos + STALL_TIMEOUT.toNanos();
            return true;
        }
        return !open;
    }

    /**
     * Records that a commit is sent.
     *
     * @param nowNanos the current monotonic time in ns
     * @return the commit, whose outcome must be reported
     */
    InFlightCommit trackCommit(long nowNanos) {
        InFlightCommit commit = new InFlightCommit(nowNanos);
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
         * Records the end of the exchange. A response closes the breaker; a lost connection does
         * not, since it is no evidence about other commits.
         *
         * @param responded whether the instance has responded
         */
        public void complete(boolean responded) {
            open &= !responded;
            pending.remove(this);
        }

        /**
         * Records that the sender stopped waiting for the response, and opens the breaker.
         *
         * @param nowNanos the current monotonic time in ns
         */
        public void abandon(long nowNanos) {
            open = true;
            nextProbeNanos = nowNanos + STALL_TIMEOUT.toNanos();
            pending.remove(this);
        }
    }
}
