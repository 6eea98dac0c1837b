package org.carobstage.peer;

import java.util.Optional;
import org.carobstage.retry.Backoff;

/** The link to one address: whether it is open, and when to try again. */
final class PeerTarget {
    private final Backoff backoff;
    private Optional<PeerLink> link = Optional.empty();
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

    /** Forgets earlier failures, since the peer has answered with its hello. */
    void onReady() {
        failures = 0;
    }

    /** Schedules the next attempt after the link was lost or could not be opened. */
    void onLost(long nowNanos) {
        connecting = false;
        link = Optional.empty();
        failures++;
        retryNanos = nowNanos + backoff.delay(failures).toNanos();
    }
}
