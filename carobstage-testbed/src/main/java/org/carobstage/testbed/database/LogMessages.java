package org.carobstage.testbed.database;

import java.util.List;

/** The messages with which a replica reads its primary's log. */
public final class LogMessages {
    private LogMessages() {}

    /** What a primary says to a read of its log. */
    public enum Status {
        /** The entries follow. */
        ENTRIES,
        /** The logs differ at or before the replica's end. */
        MISMATCH,
        /** It is not the primary of that term. */
        REFUSED
    }

    /**
     * Reads the log.
     *
     * @param term the term the replica has promised
     * @param lastTerm the term of the replica's last entry
     * @param lastOffset the offset of the replica's last entry
     * @param lagMillis only entries at least this old are wanted, in ms
     */
    public record Read(long term, long lastTerm, long lastOffset, long lagMillis) {}

    /**
     * Answers a read.
     *
     * @param status what the primary says
     * @param entries the entries
     * @param primaryOffset the offset of the primary's last entry; at a mismatch, of the last one
     *     that may be the same in both logs
     */
    public record Batch(Status status, List<LogEntry> entries, long primaryOffset) {}
}
