package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.carobstage.fake.MessageFilter.Fate;
import org.junit.jupiter.api.Test;

/** Guards against promotions that trust votes which do not cover an acknowledged commit. */
class LostCommitByVoteTest {
    private static final String VOTE_OF_LAST_PROCESS = "vm-2 WRITE carobstage/votes/forms/vm-2";

    private final FailoverFixture fixture = new FailoverFixture();

    // A process votes with the position of its new life, "nothing acknowledged".
    @Test
    void shouldNotTrustVoteWhenProcessWasRestartedWithinItsMembership() {
        fixture.advanceMillis(15_000);
        fixture.advanceWriting(1_000);
        fixture.instance("b").setReplicationBlocked(true);
        writeAt(2, 1_000);
        fixture.restart(2);
        fixture.advanceMillis(500);
        fixture.instance("c").stopResponding();
        fixture.instance("a").crash();
        fixture.advanceMillis(8_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // A write of a vote that got no answer is carried out after the vote was withdrawn.
    @Test
    void shouldNotTrustVoteWhenItsWriteIsExecutedAfterItsWithdrawal() {
        List<Integer> violating =
                IntStream.iterate(4_000, d -> d <= 7_000, d -> d + 500)
                        .filter(d -> !violationsWithLateVote(d).isEmpty())
                        .boxed()
                        .toList();

        assertThat(violating).isEmpty();
    }

    private static List<String> violationsWithLateVote(int delayMillis) {
        FailoverFixture fixture = new FailoverFixture();
        fixture.advanceMillis(15_000);
        fixture.advanceWriting(1_000);
        fixture.filter =
                message ->
                        message.equals(VOTE_OF_LAST_PROCESS)
                                ? Fate.late(Duration.ofMillis(delayMillis))
                                : Fate.DELIVERED;
        fixture.cutOffPrimary(2);
        fixture.advanceWriting(2_000);
        fixture.processes.get(2).unreachable.clear();
        fixture.advanceWriting(2_000);
        fixture.instance("b").setReplicationBlocked(true);
        for (int i = 0; i < 20; i++) {
            fixture.processes.get(2).write(() -> {});
            fixture.advanceMillis(50);
        }
        fixture.instance("c").stopResponding();
        fixture.cutOffPrimary(0, 1);
        fixture.advanceMillis(8_000);
        return fixture.service.violations();
    }

    // A commit that timed out is no longer awaited, but may be acknowledged later.
    @Test
    void shouldNotTrustVotesWhenCommitThatTimedOutIsAcknowledged() {
        fixture.advanceMillis(15_000);
        fixture.advanceWriting(1_000);
        blockReplication();
        fixture.advanceWriting(400);
        fixture.advanceMillis(2_000);
        fixture.instance("c").setReplicationBlocked(false);
        fixture.advanceMillis(100);
        fixture.instance("c").stopResponding();
        fixture.instance("a").crash();
        fixture.advanceMillis(8_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // A commit whose connection was lost is no longer awaited, but was acknowledged.
    @Test
    void shouldNotTrustVotesWhenAcknowledgementWasLostWithItsConnection() {
        fixture.advanceMillis(15_000);
        fixture.advanceWriting(1_000);
        fixture.instance("b").setReplicationBlocked(true);
        fixture.instance("a").dropResponses(1);
        fixture.processes.get(2).write(() -> {});
        fixture.advanceMillis(500);
        fixture.instance("c").stopResponding();
        fixture.instance("a").crash();
        fixture.advanceMillis(8_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    private void writeAt(int process, int millis) {
        for (int elapsed = 0; elapsed < millis; elapsed += 50) {
            fixture.processes.get(process).write(() -> {});
            fixture.advanceMillis(50);
        }
    }

    private void blockReplication() {
        List.of("b", "c").forEach(id -> fixture.instance(id).setReplicationBlocked(true));
    }
}
