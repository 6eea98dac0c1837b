package org.carobstage.upstream;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A circuit breaker for commits. A primary without a replica that receives acknowledges nothing,
 * yet it answers reads; commits sent to it would hold its slots and connections until they are
 * given up.
 */
public final class CommitCircuitBreaker {
    /** A commit takes its work and a replication delay; this is several times both. */
    private static final Duration STALLED = Duration.ofMillis(500);

    private final Set<InFlightCommit> unanswered = new LinkedHashSet<>();
    private boolean open;
    private long retryNanos;

    private CommitCircuitBreaker() {}

    /**
     * Creates a breaker that lets commits through.
     *
     * @return the breaker
     */
    public static CommitCircuitBreaker closed() {
        return new CommitCircuitBreaker();
    }

    /**
     * Tells whether a commit may be sent.
     *
     * @param now the monotonic time
     * @return false while earlier ones go unanswered, but for one each interval
     */
    boolean tryAcquirePermission(long now) {
        boolean stalled = unanswered.stream().anyMatch(t -> now - t.sentNanos >= STALLED.toNanos());
        if (stalled && !open) {
            open = true;
            retryNanos = now + STALLED.toNanos();
        }
        if (open && now - retryNanos >= 0) {
            retryNanos = now + STALLED.toNanos();
            return true;
        }
        return !open;
    }

    /** Tells whether a commit is unanswered and not given up. */
    boolean hasPendingCommits() {
        return !unanswered.isEmpty();
    }

    /**
     * Notes that a commit is sent.
     *
     * @param now the monotonic time
     * @return its ticket
     */
    InFlightCommit trackCommit(long now) {
        InFlightCommit ticket = new InFlightCommit(now);
        unanswered.add(ticket);
        return ticket;
    }

    /** A commit that was sent. */
    public final class InFlightCommit {
        private final long sentNanos;

        private InFlightCommit(long sentNanos) {
            this.sentNanos = sentNanos;
        }

        /**
         * Notes the end of the exchange. An answer lets commits through again; a lost connection
         * says nothing about other commits.
         *
         * @param answered whether the instance has answered
         */
        public void complete(boolean answered) {
            open &= !answered;
            unanswered.remove(this);
        }

        /**
         * Notes that no answer is waited for any more.
         *
         * @param now the monotonic time
         */
        public void abandon(long now) {
            open = true;
            retryNanos = now + STALLED.toNanos();
            unanswered.remove(this);
        }
    }
}
