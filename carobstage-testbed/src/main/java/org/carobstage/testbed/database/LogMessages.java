package org.carobstage.testbed.database;

import java.util.List;

/** The messages by which a replica reads its primary's log. */
public final class LogMessages {
    private LogMessages() {}

    /** The kinds of response to a read of the log. */
    public enum Status {
        /** The response contains the entries after the position in the request. */
        ENTRIES,
        /** The logs diverge at or before the end of the replica's log. */
        MISMATCH,
        /** The instance is not the primary of the requested term. */
        REFUSED
    }

    /**
     * A request to read the log.
     *
     * @param term the term that the replica has promised
     * @param lastTerm the term of the replica's last entry
     * @param lastOffset the offset of the replica's last entry
     * @param lagMillis the minimum age of the entries to return, in ms
     */
    public record Read(long term, long lastTerm, long lastOffset, long lagMillis) {}

    /**
     * The response to a read.
     *
     * @param status the kind of response
     * @param entries the entries, empty unless the status is {@link Status#ENTRIES}
     * @param primaryOffset the offset of the primary's last entry; for {@link Status#MISMATCH}, the
     *     offset of the last entry that may be identical in both logs
     */
    public record Batch(Status status, List<LogEntry> entries, long primaryOffset) {}
}
