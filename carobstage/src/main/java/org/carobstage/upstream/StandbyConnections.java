package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;

/**
 * Selects the instances to which a process keeps a connection open where there are more processes
 * than connections, so that its reads open none.
 */
final class StandbyConnections {
    /**
     * The fraction of a replica's connections that processes of other failure domains may keep
     * open.
     */
    private static final double REMOTE_FRACTION = 0.25;

    private final InstancePools pools;
    private final FailureDomain domain;
    private boolean changed = true;

    private StandbyConnections(InstancePools pools, FailureDomain domain) {
        this.pools = requireNonNull(pools, "pools is null");
        this.domain = requireNonNull(domain, "domain is null");
    }

    static StandbyConnections of(InstancePools pools, FailureDomain domain) {
        return new StandbyConnections(pools, domain);
    }

    /** Records that the instances, the primary or the quota have changed. */
    void onChange() {
        changed = true;
    }

    /** Selects the instances again if something has changed. */
    void update(Optional<InstanceId> primary) {
        if (changed) {
            changed = false;
            Set<InstanceId> kept = select(pools.entries(), domain, primary, pools.quota());
            pools.all().forEach(pool -> pool.setKeepsOpen(kept.contains(pool.entry().id())));
        }
    }

    /**
     * Selects the instances in the failure domain of the process and, if none of them is a replica,
     * a replica of another domain, by the rank of the process; the last ones have none.
     *
     * @param instances the instances of the service
     * @param domain the failure domain of the process
     * @param primary the primary, if it is known
     * @param quota the quota of the process
     * @return the instances
     */
    static Set<InstanceId> select(
            List<InstanceEntry> instances,
            FailureDomain domain,
            Optional<InstanceId> primary,
            ConnectionQuota quota) {
        requireNonNull(domain, "domain is null");
        if (quota.standbyRank().isEmpty()) {
            return Set.of();
        }
        List<InstanceEntry> running = instances.stream().filter(i -> !i.draining()).toList();
        List<InstanceId> local =
                running.stream()
                        .filter(i -> i.domain().equals(domain))
                        .map(InstanceEntry::id)
                        .toList();
        List<InstanceId> replicas =
                running.stream()
                        .map(InstanceEntry::id)
                        .filter(id -> !primary.equals(Optional.of(id)))
                        .toList();
        int rank = quota.standbyRank().getAsInt();
        boolean needsReplica =
                local.stream().noneMatch(replicas::contains)
                        && rank < (int) (quota.ceiling() * REMOTE_FRACTION) * replicas.size();
        Stream<InstanceId> remote =
                needsReplica ? Stream.of(replicas.get(rank % replicas.size())) : Stream.empty();
        return Stream.concat(local.stream(), remote).collect(Collectors.toUnmodifiableSet());
    }
}
