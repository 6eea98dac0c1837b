package org.carobstage.upstream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.carobstage.model.AccountName;

/** The open connections to one instance; selects the one to use or to close. */
final class ConnectionSet {
    private final List<PoolEntry> connections = new ArrayList<>();

    private ConnectionSet() {}

    static ConnectionSet empty() {
        return new ConnectionSet();
    }

    void add(PoolEntry connection) {
        connections.add(connection);
    }

    void remove(PoolEntry connection) {
        connections.remove(connection);
    }

    int size() {
        return connections.size();
    }

    Stream<PoolEntry> all() {
        return List.copyOf(connections).stream();
    }

    Stream<PoolEntry> idle() {
        return all().filter(c -> !c.isBusy() && !c.isRetired());
    }

    Stream<PoolEntry> idle(Optional<AccountName> account) {
        return idle().filter(c -> c.account().equals(account));
    }

    int busyCount() {
        return (int) connections.stream().filter(PoolEntry::isBusy).count();
    }

    /** Returns whether a write or commit has no result yet. */
    boolean hasWritesInFlight() {
        return connections.stream().anyMatch(PoolEntry::hasWriteInFlight);
    }

    /** Resets the connections on which a write or commit has no result yet. */
    void discardWritesInFlight() {
        all().filter(PoolEntry::hasWriteInFlight).forEach(PoolEntry::discard);
    }

    /** Returns how many statements outside transactions are running. */
    int statementCount() {
        return (int) connections.stream().filter(c -> c.isBusy() && !c.isPinned()).count();
    }

    /** Returns the connection whose session variables match best. */
    static Optional<PoolEntry> bestMatch(
            Stream<PoolEntry> candidates, Map<String, String> sessionVariables) {
        return candidates.max(Comparator.comparingInt(c -> sessionMatchScore(c, sessionVariables)));
    }

    /**
     * Returns the idle connection to close for another account: one without account, which only
     * status queries may still need, or else the least recently used one.
     */
    Optional<PoolEntry> evictable(Optional<AccountName> account) {
        return idle().filter(c -> !c.account().equals(account))
                .min(
                        Comparator.comparing((PoolEntry c) -> c.account().isPresent())
                                .thenComparingLong(PoolEntry::idleSinceNanos));
    }

    /** Returns idle connections to close so that no more than the limit remain, if possible. */
    List<PoolEntry> excess(int limit) {
        return idle().limit(Math.max(0, size() - limit)).toList();
    }

    /** Returns the connections to close because they have been idle for too long. */
    List<PoolEntry> expired(ConnectionShare share, boolean needsProbe, long nowNanos) {
        Duration timeout = share.idleTimeout(size());
        return idle().filter(c -> nowNanos - c.idleSinceNanos() > timeout.toNanos())
                .skip(share.minConnections(needsProbe))
                .limit(share.idleClosings(size()))
                .toList();
    }

    /**
     * Returns how long the oldest unanswered request has waited without any response from the
     * instance.
     */
    Duration silence(long nowNanos, long lastResponseNanos) {
        return connections.stream()
                .map(PoolEntry::sentAt)
                .flatMap(Optional::stream)
                .map(sent -> nowNanos - Math.max(sent.monotonicNanos(), lastResponseNanos))
                .max(Comparator.naturalOrder())
                .map(Duration::ofNanos)
                .orElse(Duration.ZERO);
    }

    /** Returns the connections with a request that has been unanswered for longer than a time. */
    List<PoolEntry> silentFor(Duration time, long nowNanos) {
        return all().filter(c -> c.sentAt().isPresent())
                .filter(c -> nowNanos - c.sentAt().get().monotonicNanos() > time.toNanos())
                .toList();
    }

    private static int sessionMatchScore(
            PoolEntry connection, Map<String, String> sessionVariables) {
        if (connection.sessionVariables().equals(sessionVariables)) {
            return 2;
        }
        return sessionVariables.keySet().containsAll(connection.sessionVariables().keySet())
                ? 1
                : 0;
    }
}
