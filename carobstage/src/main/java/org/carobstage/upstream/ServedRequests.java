package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carobstage.model.AccountName;
import org.carobstage.model.InstanceId;

/** The requests that hold a connection. */
final class ServedRequests {
    private final Map<PooledConnection, ConnectionRequest> requests = new HashMap<>();

    private ServedRequests() {}

    static ServedRequests empty() {
        return new ServedRequests();
    }

    void record(PooledConnection connection, ConnectionRequest request) {
        requests.put(
                requireNonNull(connection, "connection is null"),
                requireNonNull(request, "request is null"));
    }

    /** Returns how many requests of an account are being served. */
    int count(Optional<AccountName> account) {
        removeReleased();
        return (int)
                requests.values().stream()
                        .filter(r -> r.origin().account().equals(account))
                        .count();
    }

    /** Returns how many statements outside transactions an instance is serving. */
    int statementCount(InstanceId instance) {
        removeReleased();
        return (int)
                requests.keySet().stream()
                        .filter(c -> !c.isPinned() && c.instance().id().equals(instance))
                        .count();
    }

    private void removeReleased() {
        requests.keySet().removeIf(c -> !c.isOpen());
    }
}
