package org.carobstage.testbed.database;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.model.LogPosition;

/** The log of one instance; callers hold the instance's lock. */
final class ReplicatedLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private final Map<String, LogEntry> byKey = new HashMap<>();

    LogPosition lastPosition() {
        return positionAt(entries.size());
    }

    /** Tells whether this log has an entry of the given term at the given offset. */
    boolean containsPosition(LogPosition position) {
        return position.offset() <= entries.size()
                && positionAt((int) position.offset()).equals(position);
    }

    void append(LogEntry entry) {
        entries.add(entry);
        if (entry.key() != null) {
            byKey.put(entry.key(), entry);
        }
    }

    Optional<LogEntry> findByKey(String key) {
        return Optional.ofNullable(key).map(byKey::get);
    }

    /** Returns the entries after an offset that were committed no later than a moment. */
    List<LogEntry> entriesAfter(long offset, long untilMillis, int limit) {
        return entries.subList((int) offset, entries.size()).stream()
                .takeWhile(entry -> entry.committedMillis() <= untilMillis)
                .limit(limit)
                .toList();
    }

    /** Returns the offset of the last entry, up to a position, that may be the same in its log. */
    long lastCommonOffset(LogPosition position) {
        int offset = (int) Math.min(position.offset(), entries.size());
        while (positionAt(offset).term().isAfter(position.term())) {
            offset--;
        }
        return offset;
    }

    /** Drops the entries after an offset. */
    void truncateAfter(long offset) {
        while (entries.size() > offset) {
            LogEntry dropped = entries.remove(entries.size() - 1);
            Optional.ofNullable(dropped.key()).ifPresent(byKey::remove);
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
