package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.runtime.Clock;
import org.carobstage.upstream.InstanceConnector.OpenFailure;

/** Suspects one instance from its silence and from failed openings until it responds. */
final class FailureDetector {
    /**
     * Silence after which a new connection probes the instance; longer than the wait in a full
     * queue.
     */
    static final Duration PROBE_AFTER_SILENCE = Duration.ofMillis(300);

    /**
     * Number of consecutive failed attempts to open a connection, without a response in between,
     * after which the instance is suspected.
     */
    private static final int FAILURES_TO_SUSPECT = 2;

    /** Shared connections are refused now and then; a new report follows only after this time. */
    private static final Duration REFUSAL_REPORT_INTERVAL = Duration.ofSeconds(5);

    private final ServiceGroup group;
    private final Clock clock;
    private int consecutiveFailures;
    private long lastResponseNanos;
    private boolean suspected;
    private boolean refusalReported;
    private long refusalReportedNanos;

    private FailureDetector(ServiceGroup group, Clock clock) {
        this.group = requireNonNull(group, "group is null");
        this.clock = requireNonNull(clock, "clock is null");
        this.lastResponseNanos = clock.nanoTime();
    }

    static FailureDetector of(ServiceGroup group, Clock clock) {
        return new FailureDetector(group, clock);
    }

    boolean isSuspected() {
        return suspected;
    }

    /** Returns whether an opening had no response since the last response. */
    boolean needsProbe() {
        return suspected || consecutiveFailures > 0;
    }

    long lastResponseNanos() {
        return lastResponseNanos;
    }

    /** Records that the instance was replaced; failures of the former one do not count. */
    void onReplaced() {
        consecutiveFailures = 0;
    }

    /** Restarts the timeouts after this process was paused. */
    void resetAfterPause() {
        lastResponseNanos = clock.nanoTime();
        consecutiveFailures = 0;
    }

    void recordResponse(InstanceEntry entry) {
        lastResponseNanos = clock.nanoTime();
        consecutiveFailures = 0;
        group.onResponse(entry.id());
        if (suspected) {
            suspected = false;
            group.onSuspicionChanged(entry, false, "the instance responded");
        }
    }

    /** Records that a connection was opened; a later refusal is reported again. */
    void onOpened() {
        if (clock.nanoTime() - refusalReportedNanos >= REFUSAL_REPORT_INTERVAL.toNanos()) {
            refusalReported = false;
        }
    }

    /**
     * Records a failed opening.
     *
     * @param entry the instance
     * @param reason why the opening failed
     * @param silence how long the oldest request has waited without any response
     * @param openCount how many connections are open
     */
    void onOpenFailed(InstanceEntry entry, OpenFailure reason, Duration silence, int openCount) {
        boolean responded = reason == OpenFailure.CONNECTION_LIMIT || reason == OpenFailure.REFUSED;
        if (responded) {
            recordResponse(entry);
            reportRefusal(entry, reason, openCount);
        } else {
            recordFailure(entry, reason, silence);
        }
    }

    private void reportRefusal(InstanceEntry entry, OpenFailure reason, int openCount) {
        if (!refusalReported) {
            refusalReported = true;
            refusalReportedNanos = clock.nanoTime();
            group.onConnectionsRefused(entry, reason, openCount);
        }
    }

    private void recordFailure(InstanceEntry entry, OpenFailure reason, Duration silence) {
        consecutiveFailures++;
        if (reason == OpenFailure.RESET) {
            group.onConnectionReset(entry.id());
        }
        boolean silent =
                reason == OpenFailure.NO_ANSWER && silence.compareTo(PROBE_AFTER_SILENCE) > 0;
        if ((silent || consecutiveFailures >= FAILURES_TO_SUSPECT) && !suspected) {
            suspected = true;
            group.onSuspicionChanged(entry, true, reason + ", silent for " + silence.toMillis());
        }
    }
}
