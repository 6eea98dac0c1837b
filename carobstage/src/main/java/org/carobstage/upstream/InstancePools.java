package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.InstanceId;

/** The connection pools of the instances of one service. */
final class InstancePools {
    private final Map<InstanceId, InstanceConnectionPool> pools = new TreeMap<>();
    private final List<InstanceConnectionPool> removed = new ArrayList<>();
    private ConnectionQuota quota = ConnectionQuota.fixed(1, 1);

    private InstancePools() {}

    static InstancePools empty() {
        return new InstancePools();
    }

    InstanceConnectionPool add(InstanceConnectionPool pool) {
        requireNonNull(pool, "pool is null");
        pool.setQuota(quota);
        pools.put(pool.entry().id(), pool);
        return pool;
    }

    void remove(InstanceId id) {
        Optional.ofNullable(pools.remove(id))
                .ifPresent(
                        pool -> {
                            pool.close();
                            removed.add(pool);
                        });
    }

    /** Closes silent connections to removed instances, whose holders await their results. */
    void closeSilentRemoved(long nowNanos) {
        removed.forEach(pool -> pool.closeSilentConnections(nowNanos));
        removed.removeIf(InstanceConnectionPool::isEmpty);
    }

    /** Restarts the timeouts of all instances, also the removed ones, after a pause. */
    void resetTimersAfterPause() {
        Stream.concat(pools.values().stream(), removed.stream())
                .forEach(InstanceConnectionPool::resetTimersAfterPause);
    }

    void setQuota(ConnectionQuota newer) {
        quota = requireNonNull(newer, "newer is null");
        all().forEach(pool -> pool.setQuota(newer));
    }

    ConnectionQuota quota() {
        return quota;
    }

    PoolCounters counters() {
        return pools.values().stream()
                .map(InstanceConnectionPool::counters)
                .reduce(PoolCounters.NONE, PoolCounters::plus);
    }

    Optional<InstanceConnectionPool> find(InstanceId id) {
        return Optional.ofNullable(pools.get(id));
    }

    /** Returns the pools with connections to an instance, also if its entry was removed. */
    List<InstanceConnectionPool> withConnectionsTo(InstanceId id) {
        return Stream.concat(find(id).stream(), removed.stream())
                .filter(pool -> pool.entry().id().equals(id))
                .toList();
    }

    List<InstanceConnectionPool> all() {
        return List.copyOf(pools.values());
    }

    List<InstanceEntry> entries() {
        return pools.values().stream().map(InstanceConnectionPool::entry).toList();
    }

    Set<InstanceId> idsExcept(InstanceId excluded) {
        return pools.keySet().stream()
                .filter(id -> !id.equals(excluded))
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether an instance that is neither draining nor excluded exists. */
    boolean hasOther(Set<InstanceId> excluded) {
        return entries().stream().anyMatch(e -> !e.draining() && !excluded.contains(e.id()));
    }

    /** Sorts pools by the expected latency of their instances. */
    Stream<InstanceConnectionPool> rankByLatency(Stream<InstanceConnectionPool> candidates) {
        return InstanceSelector.rankByLatency(candidates.map(PoolCandidates::of)).stream()
                .map(c -> pools.get(c.id()));
    }

    /** Sorts pools by the expected latency of a request, with the opening that it needs. */
    Stream<InstanceConnectionPool> rankByLatency(
            Stream<InstanceConnectionPool> candidates, ConnectionRequest request) {
        return InstanceSelector.rankByLatency(candidates.map(p -> PoolCandidates.of(p, request)))
                .stream()
                .map(c -> pools.get(c.id()));
    }

    int openConnectionCount() {
        return pools.values().stream().mapToInt(p -> p.connectionUsage().open()).sum();
    }

    /** Returns how many statements outside transactions this process may have in flight. */
    int statementLimit() {
        return pools.values().stream().mapToInt(InstanceConnectionPool::statementLimit).sum();
    }

    /** Returns the average statement latency of the fastest instance. */
    Duration serviceTime() {
        return pools.values().stream()
                .map(InstanceConnectionPool::averageLatency)
                .min(Duration::compareTo)
                .orElse(Duration.ZERO);
    }
}
