package org.carobstage.testbed.database;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.model.LogPosition;

/** The log of one instance. It is not thread-safe: callers hold the instance's lock. */
final class ReplicatedLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private final Map<String, LogEntry> entriesByKey = new HashMap<>();

    LogPosition lastPosition() {
        return positionAt(entries.size());
    }

    /** Returns whether this log has an entry with the given term at the given offset. */
    boolean containsPosition(LogPosition position) {
        return position.offset() <= entries.size()
                && positionAt((int) position.offset()).equals(position);
    }

    void append(LogEntry entry) {
        entries.add(entry);
        if (entry.key() != null) {
            entriesByKey.put(entry.key(), entry);
        }
    }

    Optional<LogEntry> findByKey(String key) {
        return Optional.ofNullable(key).map(entriesByKey::get);
    }

    /** Returns up to {@code limit} entries after an offset, committed no later than a time. */
    List<LogEntry> entriesAfter(long offset, long untilMillis, int limit) {
        return entries.subList((int) offset, entries.size()).stream()
                .takeWhile(entry -> entry.committedMillis() <= untilMillis)
                .limit(limit)
                .toList();
    }

    /**
     * Returns the highest offset, at most that of the position, whose entry may also be in the log
     * from which the position comes.
     */
    long lastCommonOffset(LogPosition position) {
        int offset = (int) Math.min(position.offset(), entries.size());
        while (positionAt(offset).term().isAfter(position.term())) {
            offset--;
        }
        return offset;
    }

    /** Removes the entries after an offset. */
    void truncateAfter(long offset) {
        while (entries.size() > offset) {
            LogEntry removed = entries.remove(entries.size() - 1);
            Optional.ofNullable(removed.key()).ifPresent(entriesByKey::remove);
        }
    }

    List<LogEntry> snapshot() {
        return List.copyOf(entries);
    }

    private LogPosition positionAt(int offset) {
        long term = offset == 0 ? 0 : entries.get(offset - 1).term();
        return LogPosition.of(term, offset);
    }
}
