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
    void shouldChooseLongestLogWhenAllReplicasAreStopped() {
        assertThat(choose(Optional.empty(), replica("b", 7, false), replica("c", 9, false)))
                .contains(InstanceId.of("c"));
    }

    @Test
    void shouldPreferStayingReplicaWhenLogsAreEqual() {
        assertThat(choose(Optional.empty(), replica("b", 9, false), replica("c", 9, true)))
                .contains(InstanceId.of("b"));
    }

    @Test
    void shouldChooseNoneWhenUnreachableReplicaMayHoldNewestCommit() {
        assertThat(choose(Optional.of(LogPosition.of(1, 9)), replica("b", 8, false))).isEmpty();
        assertThat(choose(Optional.empty(), replica("b", 8, false))).isEmpty();
    }

    @Test
    void shouldChooseReachableReplicaWhenItHoldsEveryAcknowledgedCommit() {
        assertThat(choose(Optional.of(LogPosition.of(1, 8)), replica("b", 8, false)))
                .contains(InstanceId.of("b"));
    }

    private static Optional<InstanceId> choose(
            Optional<LogPosition> acknowledged, Replica... stopped) {
        return FailoverCandidateSelector.select(List.of(stopped), 2, acknowledged).map(Replica::id);
    }

    private static Replica replica(String id, long offset, boolean draining) {
        return new Replica(InstanceId.of(id), LogPosition.of(1, offset), draining);
    }
}
