package org.carobstage.upstream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.carobstage.model.AccountName;

/**
 * Decides which connections to open for waiting requests. Each request causes at most one opening
 * at a time; an opening in progress for the account counts for the first request that can use it.
 */
final class OpeningPlanner {
    private final Function<ConnectionRequest, Stream<InstanceConnectionPool>> rankedPools;
    private final List<ConnectionRequest> waiting = new ArrayList<>();

    /**
     * Creates a planner.
     *
     * @param rankedPools returns the pools that may serve a request, the best one first
     */
    OpeningPlanner(Function<ConnectionRequest, Stream<InstanceConnectionPool>> rankedPools) {
        this.rankedPools = rankedPools;
    }

    /** Adds a request that got no connection in this round; requests are served in this order. */
    void add(ConnectionRequest request) {
        // The order by priority asks again for the remaining requests after each grant.
        remove(request);
        waiting.add(request);
    }

    /** Removes a request that has got a connection after it was added. */
    void remove(ConnectionRequest request) {
        waiting.removeIf(r -> r == request);
    }

    /**
     * Returns whether an idle connection of a pool is left to be closed for an added request of
     * another account, which precedes the given one and for which no connection is being opened.
     */
    boolean isReserved(InstanceConnectionPool pool, ConnectionRequest request) {
        return waiting.stream()
                .filter(r -> r.needsPrimary() == request.needsPrimary())
                .filter(r -> !r.acceptsAnyAccount())
                .map(r -> r.origin().account())
                .filter(account -> !account.equals(request.origin().account()))
                .filter(a -> pool.openings().stream().noneMatch(o -> o.account().equals(a)))
                .anyMatch(pool::canOpen);
    }

    /** Opens connections for the added requests and returns and removes these. */
    List<ConnectionRequest> openConnections() {
        List<ConnectionRequest> planned = List.copyOf(waiting);
        waiting.clear();
        Set<Opening> taken = Collections.newSetFromMap(new IdentityHashMap<>());
        for (ConnectionRequest request : planned) {
            List<InstanceConnectionPool> pools = rankedPools.apply(request).toList();
            if (request.acceptsAnyAccount()) {
                openForStatus(pools);
            } else {
                inProgress(request, pools, taken)
                        .or(() -> open(request, pools))
                        .ifPresent(taken::add);
            }
        }
        return planned;
    }

    private static Optional<Opening> inProgress(
            ConnectionRequest request, List<InstanceConnectionPool> pools, Set<Opening> taken) {
        return pools.stream()
                .flatMap(p -> p.openings().stream())
                .filter(o -> !taken.contains(o))
                .filter(o -> o.account().equals(request.origin().account()))
                .findFirst();
    }

    /** Opens a connection for a status query only if it can't expect one of any account soon. */
    private static void openForStatus(List<InstanceConnectionPool> pools) {
        if (pools.stream().noneMatch(InstanceConnectionPool::hasUnpinned)) {
            pools.stream()
                    .findFirst()
                    .ifPresent(p -> p.openIfAllowed(Optional.empty(), OpeningCause.STATUS_QUERY));
        }
    }

    private static Optional<Opening> open(
            ConnectionRequest request, List<InstanceConnectionPool> pools) {
        Optional<AccountName> account = request.origin().account();
        if (pools.stream().noneMatch(p -> p.canOpen(account))) {
            pools.stream().findFirst().ifPresent(InstanceConnectionPool::raiseLimit);
        }
        return pools.stream()
                .filter(p -> p.canOpen(account))
                .findFirst()
                .map(p -> p.openMakingRoom(account, OpeningCause.of(request.purpose())));
    }
}
