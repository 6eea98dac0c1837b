package org.carobstage.pool;

import org.carobstage.backend.BackendConnection;

/** An open connection and the time of its last response. */
final class PoolEntry {
    private final BackendConnection connection;
    private long lastResponseNanos;
    private long lastPingNanos;
    private boolean finalPing;

    PoolEntry(BackendConnection connection, long nowNanos) {
        this.connection = connection;
        this.lastResponseNanos = nowNanos;
    }

    BackendConnection connection() {
        return connection;
    }

    /** Returns the time of the last response, in ns of the monotonic clock. */
    long lastResponseNanos() {
        return lastResponseNanos;
    }

    void recordResponse(long nowNanos) {
        lastResponseNanos = nowNanos;
    }

    /** Returns the time at which the last ping was sent, in ns of the monotonic clock. */
    long lastPingNanos() {
        return lastPingNanos;
    }

    void recordPing(long nowNanos, boolean isFinal) {
        lastPingNanos = nowNanos;
        finalPing = isFinal;
    }

    /** Returns whether the last ping was sent after another connection had responded. */
    boolean isFinalPing() {
        return finalPing;
    }
}
