package org.carobstage.pool;

import org.carobstage.backend.BackendConnection;

/** An open connection and the last moment at which it was known to answer. */
final class Pooled {
    private final BackendConnection connection;
    private long provenNanos;
    private long askedNanos;
    private boolean judged;

    Pooled(BackendConnection connection, long now) {
        this.connection = connection;
        this.provenNanos = now;
    }

    BackendConnection connection() {
        return connection;
    }

    /** Returns when it was last known to answer, in ns of the runtime's clock. */
    long provenNanos() {
        return provenNanos;
    }

    void prove(long now) {
        provenNanos = now;
    }

    /** Returns when the last ping was sent, in ns of the runtime's clock. */
    long askedNanos() {
        return askedNanos;
    }

    void ask(long now, boolean instanceAnswers) {
        askedNanos = now;
        judged = instanceAnswers;
    }

    /** Tells whether the last ping was sent when another connection had just answered. */
    boolean isJudged() {
        return judged;
    }
}
