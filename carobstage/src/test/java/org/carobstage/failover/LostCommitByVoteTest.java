package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against promotions that trust votes which do not cover an acknowledged commit. */
class LostCommitByVoteTest {
    private final FailoverFixture fixture = new FailoverFixture();

    // A process votes with the position of its new life, "nothing acknowledged".
    @Test
    @Tag("known-red")
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

    private void writeAt(int process, int millis) {
        for (int elapsed = 0; elapsed < millis; elapsed += 50) {
            fixture.processes.get(process).write(() -> {});
            fixture.advanceMillis(50);
        }
    }
}
