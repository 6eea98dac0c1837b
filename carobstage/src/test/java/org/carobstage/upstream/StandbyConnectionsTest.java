package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.junit.jupiter.api.Test;

class StandbyConnectionsTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");
    private static final InstanceId C = InstanceId.of("c");
    private static final FailureDomain DOMAIN = FailureDomain.of("domain-b");
    private static final ConnectionQuota ON_DEMAND = new ConnectionQuota(1, 118, 71, true, false);

    // Guards against processes that all keep a connection to each instance, which allows fewer.
    @Test
    void shouldKeepConnectionToLocalReplicaOnly() {
        assertThat(select(instances(false), A, 0)).containsExactly(B);
    }

    // Guards against reads of the processes next to a primary that all open connections.
    @Test
    void shouldKeepConnectionToReplicaOfOtherDomainWhenLocalInstanceIsPrimary() {
        Set<InstanceId> remote =
                IntStream.range(0, 2)
                        .mapToObj(rank -> select(instances(false), B, rank))
                        .peek(kept -> assertThat(kept).hasSize(2).contains(B))
                        .flatMap(Set::stream)
                        .collect(Collectors.toSet());

        assertThat(remote).containsExactlyInAnyOrder(A, B, C);
    }

    @Test
    void shouldKeepConnectionToOtherReplicaWhenLocalOneIsDraining() {
        assertThat(select(instances(true), A, 0)).containsExactly(C);
    }

    // Guards against connections kept by local and other processes that are more than the limit.
    @Test
    void shouldKeepRemoteConnectionsWithinTheirPartOfTheLimit() {
        List<InstanceEntry> all = instances(false);

        assertThat(IntStream.range(0, 46).filter(rank -> select(all, B, rank).contains(A)))
                .hasSize(17);
        assertThat(IntStream.range(0, 46).filter(rank -> select(all, B, rank).contains(C)))
                .hasSize(17);
    }

    @Test
    void shouldKeepNoConnectionWithoutRank() {
        assertThat(StandbyConnections.select(instances(false), DOMAIN, Optional.of(A), ON_DEMAND))
                .isEmpty();
    }

    private static Set<InstanceId> select(List<InstanceEntry> all, InstanceId primary, int rank) {
        return StandbyConnections.select(
                all, DOMAIN, Optional.of(primary), ON_DEMAND.withStandbyRank(rank));
    }

    private static List<InstanceEntry> instances(boolean localDraining) {
        return List.of(instance(A, false), instance(B, localDraining), instance(C, false));
    }

    private static InstanceEntry instance(InstanceId id, boolean draining) {
        return new InstanceEntry(
                id,
                ServiceName.of("forms"),
                Address.of("127.0.0.1", 1),
                FailureDomain.of("domain-" + id),
                4,
                draining,
                false,
                0,
                0);
    }
}
