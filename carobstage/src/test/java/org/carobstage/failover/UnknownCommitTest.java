package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.upstream.ServiceGroup;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Failovers in which the votes decide, since one replica is out of reach, after commits that only
 * this replica has received and whose outcome their process does not know.
 */
class UnknownCommitTest {
    private final FailoverFixture fixture = new FailoverFixture();
    private final ServiceGroup group = fixture.processes.get(0).group;

    @BeforeEach
    void stabilizeMembers() {
        fixture.advanceSecondsInUse(16);
        fixture.instance("b").setReplicationBlocked(true);
    }

    // Guards against a promoted log without a commit whose result was lost.
    @Test
    void shouldNotPromoteOnVotesWhenConnectionOfCommitWasLost() {
        fixture.instance("a").dropResponses(1);
        fixture.processes.get(0).write(() -> {});
        fixture.advanceMillis(10);
        assertThat(fixture.instance("c").receivedPosition()).isEqualTo(LogPosition.of(1, 1));
        failPrimaryAndReplicaWithCommit();

        assertThat(fixture.service.receivedPromotionRequests()).isEmpty();
    }

    // Guards against a promoted log without a commit that was pending when the leader changed.
    @Test
    void shouldNotPromoteOnVotesWhenLeaderChangedWhileCommitWasPending() {
        group.trackCommit();
        fixture.instance("c").receive(LogPosition.of(1, 1));
        group.remove(InstanceId.of("a"));
        group.put(fixture.service.instanceEntry("a"));
        fixture.advanceMillis(400);
        assertThat(group.leadership().isLeader(InstanceId.of("a"))).isTrue();
        failPrimaryAndReplicaWithCommit();

        assertThat(fixture.service.receivedPromotionRequests()).isEmpty();
    }

    // Guards against votes that never hold a position again after a lost connection.
    @Test
    void shouldPromoteOnVotesWhenPrimaryReportedAfterConnectionOfCommitWasLost() {
        fixture.instance("b").setReplicationBlocked(false);
        fixture.instance("a").dropResponses(1);
        fixture.processes.get(0).write(() -> {});
        fixture.advanceMillis(1_000);
        failPrimaryAndReplicaWithCommit();

        assertThat(fixture.service.primary().map(i -> i.id())).contains(InstanceId.of("b"));
    }

    private void failPrimaryAndReplicaWithCommit() {
        fixture.instance("a").stopResponding();
        fixture.instance("c").stopResponding();
        fixture.advanceMillis(6_000);
    }
}
