package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.carobstage.fake.MessageFilter.Fate;
import org.junit.jupiter.api.Test;

class WriterFenceTest {
    private static final String VOTE = "carobstage/votes/forms/vm-2";

    private final FailoverFixture fixture = new FailoverFixture();
    private final List<String> pauses = new ArrayList<>();

    // The primary may acknowledge a write in flight to a replica that restarts after its pause.
    @Test
    void shouldPauseReplicasOnlyOnceVotesSayThatWritesHaveEnded() {
        startFailoverWithoutVoteOfLastProcess();
        fixture.store.put(VOTE, "a - -");
        fixture.advanceWriting(250);
        assertThat(pauses).isEmpty();
        fixture.store.put(VOTE, "a - ended");
        fixture.advanceWriting(50);

        assertThat(pauses).isNotEmpty();
    }

    // A process that never reports the end of its writes would prevent every failover.
    @Test
    void shouldPauseReplicasAfterTimeoutWhenVoteDoesNotSayThatWritesHaveEnded() {
        startFailoverWithoutVoteOfLastProcess();
        fixture.store.put(VOTE, "a - -");
        fixture.advanceWriting(500);

        assertThat(pauses).isNotEmpty();
    }

    /** Stops the primary and advances until a process holds the lease; the last one can't write. */
    private void startFailoverWithoutVoteOfLastProcess() {
        fixture.filter =
                message -> {
                    if (message.contains(" PAUSE ")) {
                        pauses.add(message);
                    }
                    return message.startsWith("vm-2 WRITE") ? Fate.LOST : Fate.DELIVERED;
                };
        fixture.advanceWriting(1_000);
        fixture.instance("a").stopResponding();
        while (fixture.store.get("carobstage/failover/forms").isEmpty()) {
            fixture.advanceWriting(50);
        }
    }
}
