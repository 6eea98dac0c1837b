package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.carobstage.failover.FailoverCandidateSelector.Replica;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.junit.jupiter.api.Test;

class FailoverCandidateSelectorTest {
    @Test
    void shouldSelectLongestLogWhenAllReplicasArePaused() {
        assertThat(select(Optional.empty(), replica("b", 7, false), replica("c", 9, false)))
                .contains(InstanceId.of("c"));
    }

    @Test
    void shouldPreferReplicaThatIsNotDrainingWhenLogsAreEqual() {
        assertThat(select(Optional.empty(), replica("b", 9, false), replica("c", 9, true)))
                .contains(InstanceId.of("b"));
    }

    @Test
    void shouldSelectNoneWhenUnreachableReplicaMayHoldNewestCommit() {
        assertThat(select(Optional.of(LogPosition.of(1, 9)), replica("b", 8, false))).isEmpty();
        assertThat(select(Optional.empty(), replica("b", 8, false))).isEmpty();
    }

    @Test
    void shouldSelectReachableReplicaWhenItHoldsEveryAcknowledgedCommit() {
        assertThat(select(Optional.of(LogPosition.of(1, 8)), replica("b", 8, false)))
                .contains(InstanceId.of("b"));
    }

    private static Optional<InstanceId> select(
            Optional<LogPosition> acknowledgedPosition, Replica... pausedReplicas) {
        return FailoverCandidateSelector.select(List.of(pausedReplicas), 2, acknowledgedPosition)
                .map(Replica::id);
    }

    private static Replica replica(String id, long offset, boolean draining) {
        return new Replica(InstanceId.of(id), LogPosition.of(1, offset), draining);
    }
}
