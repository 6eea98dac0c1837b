package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The connections to an instance that transactions hold.
 *
 * @param connections the connections
 * @param limit how many connections this process may have to the instance
 */
record PinnedConnections(List<PooledConnection> connections, int limit) {
    PinnedConnections {
        requireNonNull(connections, "connections is null");
    }

    static PinnedConnections of(ConnectionSet connections, int limit) {
        return new PinnedConnections(
                connections.all().filter(PooledConnection::isPinned).toList(), limit);
    }

    int size() {
        return connections.size();
    }

    List<IdleTransaction> idleTransactions() {
        return connections.stream().flatMap(c -> c.idleTransaction().stream()).toList();
    }
}
