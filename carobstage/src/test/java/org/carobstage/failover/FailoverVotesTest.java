package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import org.carobstage.fake.FakeService;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.VmId;
import org.junit.jupiter.api.Test;

class FailoverVotesTest {
    private static final InstanceId PRIMARY = InstanceId.of("a");
    private static final VmId VM = VmId.of("vm-0");

    private final FailoverVotes votes = FailoverVotes.empty();

    // The vote of a build that does not report its writes may leave one in flight.
    @Test
    void shouldNotTakeWritesAsEndedWhenVoteDoesNotSayIt() {
        record("a - -");
        assertThat(votes.haveAllVoted(FakeService.NAME, PRIMARY, Set.of(VM))).isTrue();
        assertThat(votes.haveAllEndedWrites(FakeService.NAME, PRIMARY, Set.of(VM))).isFalse();
        record("a - ended");
        assertThat(votes.haveAllEndedWrites(FakeService.NAME, PRIMARY, Set.of(VM))).isTrue();
        record("a 1 5");
        assertThat(votes.haveAllEndedWrites(FakeService.NAME, PRIMARY, Set.of(VM))).isTrue();
    }

    // A vote that is read back differently would be cast again and again.
    @Test
    void shouldParseWhatItFormats() {
        Vote unknown = new Vote(PRIMARY, Optional.empty(), false);
        Vote ended = new Vote(PRIMARY, Optional.empty(), true);
        Vote known = new Vote(PRIMARY, Optional.of(LogPosition.of(1, 5)), true);

        assertThat(Vote.parse(unknown.format())).contains(unknown);
        assertThat(Vote.parse(ended.format())).contains(ended);
        assertThat(Vote.parse(known.format())).contains(known);
    }

    private void record(String text) {
        votes.record(FakeService.NAME, VM, Vote.parse(text));
    }
}
