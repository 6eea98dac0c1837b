package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobstage.fake.MessageFilter;
import org.carobstage.fake.MessageFilter.Fate;
import org.carobstage.model.InstanceId;
import org.junit.jupiter.api.Test;

class ReplacementVoteTest {
    private static final InstanceId PRIMARY = InstanceId.of("a");

    private final FailoverFixture fixture = new FailoverFixture(true);
    private final FailoverFixture.Process process = fixture.processes.get(0);

    // A vote that is stored after its withdrawal names an outdated position while writes go on.
    @Test
    void shouldNotStoreVoteAfterItsWithdrawalWhenItsWriteIsExecutedLate() {
        fixture.filter =
                message ->
                        message.startsWith("vm-0 WRITE carobstage/votes/")
                                ? Fate.late(Duration.ofSeconds(3))
                                : Fate.DELIVERED;
        process.unreachable.add(PRIMARY);
        fixture.advanceMillis(1_200);
        fixture.filter = MessageFilter.NONE;
        process.unreachable.clear();

        List<String> votesBesideWrites = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            fixture.advanceMillis(10);
            storedVote()
                    .filter(vote -> process.group.tryAcquireWritePermission(PRIMARY))
                    .ifPresent(votesBesideWrites::add);
        }

        assertThat(votesBesideWrites).isEmpty();
    }

    // The vote of a process that was killed outlives it by the TTL of its membership.
    @Test
    void shouldSendNoWritesWhileVoteOfEarlierRunIsStored() {
        process.unreachable.add(PRIMARY);
        fixture.advanceMillis(2_000);
        assertThat(storedVote()).isPresent();
        FailoverFixture.Process restarted = fixture.restart(0);

        List<String> votesBesideWrites = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            fixture.advanceMillis(10);
            storedVote()
                    .filter(vote -> restarted.group.tryAcquireWritePermission(PRIMARY))
                    .filter(vote -> restarted.group.leadership().isLeader(PRIMARY))
                    .ifPresent(votesBesideWrites::add);
        }

        assertThat(votesBesideWrites).isEmpty();
        assertThat(storedVote()).isEmpty();
        assertThat(restarted.group.tryAcquireWritePermission(PRIMARY)).isTrue();
    }

    // A vote whose key was deleted before the watch had shown it could never be withdrawn, so that
    // the process sent no writes to the primary until it was restarted.
    @Test
    void shouldWithdrawVoteWhenItsKeyWasDeletedBeforeTheWatchShowedIt() {
        holdWatch();
        process.unreachable.add(PRIMARY);
        fixture.advanceSecondsInUse(3);
        assertThat(storedVote()).isPresent();
        fixture.store.delete("carobstage/votes/forms/vm-0");
        fixture.store.compact();
        process.unreachable.clear();
        process.storeClient.holdWatch(false);
        fixture.advanceMillis(4_000);

        assertThat(process.group.tryAcquireWritePermission(PRIMARY)).isTrue();
        assertThat(storedVote()).isEmpty();
    }

    // The process could not vote again either, so that a later loss of the primary was not
    // repaired.
    @Test
    void shouldVoteAgainWhenItsKeyWasDeletedBeforeTheWatchShowedIt() {
        holdWatch();
        process.unreachable.add(PRIMARY);
        fixture.advanceSecondsInUse(3);
        assertThat(storedVote()).isPresent();
        fixture.store.delete("carobstage/votes/forms/vm-0");
        fixture.store.compact();
        process.storeClient.holdWatch(false);
        process.unreachable.clear();
        fixture.advanceMillis(4_000);
        process.unreachable.add(PRIMARY);
        fixture.advanceSecondsInUse(3);

        assertThat(storedVote()).isPresent();
    }

    // A commit in flight at a primary that is being replaced may be acknowledged by one replica.
    @Test
    void shouldResetWritesInFlightWhenJoiningReplacement() {
        FailoverFixture.Process joining = fixture.processes.get(2);
        List.of("b", "c").forEach(id -> fixture.instance(id).setReplicationBlocked(true));
        joining.write(() -> {});
        fixture.advanceMillis(20);
        assertThat(joining.group.pendingWrites().areInFlight(PRIMARY)).isTrue();
        fixture.cutOffPrimary(0, 1);
        while (fixture.store.get("carobstage/failover/forms").isEmpty()) {
            fixture.processes.subList(0, 2).forEach(p -> p.write(() -> {}));
            fixture.advanceMillis(50);
        }
        assertThat(joining.group.pendingWrites().areInFlight(PRIMARY)).isTrue();
        fixture.advanceMillis(350);

        assertThat(joining.group.pendingWrites().areInFlight(PRIMARY)).isFalse();
        assertThat(fixture.store.get("carobstage/votes/forms/vm-2").flatMap(Vote::parse))
                .hasValueSatisfying(vote -> assertThat(vote.writesEnded()).isTrue());
    }

    /** Holds the watch once the call that waits for a change has ended. */
    private void holdWatch() {
        process.storeClient.holdWatch(true);
        fixture.advanceMillis(20_000);
    }

    private Optional<String> storedVote() {
        return fixture.store
                .get("carobstage/votes/forms/vm-0")
                .filter(text -> Vote.parse(text).isPresent());
    }
}
