package org.carobstage.pool;

import org.carobstage.backend.BackendConnection;

/** An open connection and the last moment at which it was known to answer. */
final class PoolEntry {
    private final BackendConnection connection;
    private long lastResponseNanos;
    private long lastPingNanos;
    private boolean judged;

    PoolEntry(BackendConnection connection, long now) {
        this.connection = connection;
        this.lastResponseNanos = now;
    }

    BackendConnection connection() {
        return connection;
    }

    /** Returns when it was last known to answer, in ns of the runtime's clock. */
    long lastResponseNanos() {
        return lastResponseNanos;
    }

    void recordResponse(long now) {
        lastResponseNanos = now;
    }

    /** Returns when the last ping was sent, in ns of the runtime's clock. */
    long lastPingNanos() {
        return lastPingNanos;
    }

    void recordPing(long now, boolean instanceAnswers) {
        lastPingNanos = now;
        judged = instanceAnswers;
    }

    /** Tells whether the last ping was sent when another connection had just answered. */
    boolean isFinalPing() {
        return judged;
    }
}
