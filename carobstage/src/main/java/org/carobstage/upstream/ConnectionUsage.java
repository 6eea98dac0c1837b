package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * How the connections of this process to an instance are used.
 *
 * @param limit how many connections it may have
 * @param open how many are open
 * @param pinned the connections that transactions hold
 */
record ConnectionUsage(int limit, int open, List<PoolEntry> pinned) {
    ConnectionUsage {
        requireNonNull(pinned, "pinned is null");
    }

    static ConnectionUsage of(ConnectionSet connections, int limit) {
        return new ConnectionUsage(
                limit, connections.size(), connections.all().filter(PoolEntry::isPinned).toList());
    }

    List<IdleTransaction> idleTransactions() {
        return pinned.stream().flatMap(c -> c.idleTransaction().stream()).toList();
    }
}
