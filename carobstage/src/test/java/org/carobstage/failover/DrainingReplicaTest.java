package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against promotions that lose what a draining replica alone has confirmed. */
class DrainingReplicaTest {
    private final FailoverFixture fixture = new FailoverFixture();

    // The replica left with its log during the failover, and the other one was promoted.
    @ParameterizedTest
    @ValueSource(ints = {0, 100, 300, 600})
    @Tag("known-red")
    void shouldKeepAcknowledgedCommitsWhenDrainingReplicaLeavesAfterCrashOfPrimary(int millis) {
        fixture.advanceMillis(15_000);
        fixture.advanceWriting(1_000);
        fixture.instance("c").drain();
        fixture.putEntries();
        fixture.instance("b").setReplicationBlocked(true);
        fixture.advanceWriting(3_000);
        fixture.instance("a").crash();
        fixture.advanceMillis(millis);
        fixture.instance("c").crash();
        fixture.dropEntry("c");
        fixture.advanceMillis(8_000);

        assertThat(fixture.service.violations()).isEmpty();
    }
}
