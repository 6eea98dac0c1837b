package org.carobstage.peer;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.retry.Backoff;

/** The link to one address: whether it is open, and when to try again. */
final class PeerTarget {
    /** A peer that is closed for a fault is so at its first message, which takes 200 ms at most. */
    private static final Duration STABLE_TIME = Duration.ofMillis(500);

    private final Backoff backoff;
    private Optional<PeerLink> link = Optional.empty();
    private Optional<Long> readyNanos = Optional.empty();
    private boolean connecting;
    private int failures;
    private long retryNanos;

    PeerTarget(Backoff backoff, long nowNanos) {
        this.backoff = backoff;
        this.retryNanos = nowNanos;
    }

    Optional<PeerLink> link() {
        return link;
    }

    boolean isDue(long nowNanos) {
        return link.isEmpty() && !connecting && nowNanos - retryNanos >= 0;
    }

    void onConnecting() {
        connecting = true;
    }

    void onConnected(PeerLink connected) {
        connecting = false;
        link = Optional.of(connected);
    }

    /** Records that the peer has answered with its hello. */
    void onReady(long nowNanos) {
        readyNanos = Optional.of(nowNanos);
    }

    /**
     * Schedules the next attempt after the link was lost or could not be opened. Earlier failures
     * count unless the link was in use for a while, so that a faulty peer is not tried often.
     */
    void onLost(long nowNanos) {
        boolean wasStable =
                readyNanos.filter(at -> nowNanos - at >= STABLE_TIME.toNanos()).isPresent();
        failures = wasStable ? 0 : failures;
        readyNanos = Optional.empty();
        connecting = false;
        link = Optional.empty();
        failures++;
        retryNanos = nowNanos + backoff.delay(failures).toNanos();
    }
}
