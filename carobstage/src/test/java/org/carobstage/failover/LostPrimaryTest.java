package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against services that stay without a primary after it was lost. */
class LostPrimaryTest {
    // The log end of a primary that lost its replicas includes commits that no replica has.
    @Test
    void shouldReplacePrimaryWhenItLostItsReplicasBeforeItCrashed() {
        FailoverFixture fixture = new FailoverFixture();
        fixture.advanceMillis(16_000);
        fixture.advanceWriting(1_000);
        fixture.instance("b").setReplicationBlocked(true);
        fixture.instance("c").setReplicationBlocked(true);
        fixture.advanceWriting(400);
        fixture.advanceMillis(5_000);
        fixture.instance("a").crash();
        fixture.advanceMillis(20_000);

        assertThat(fixture.service.receivedPromotionRequests()).isNotEmpty();
        assertThat(fixture.service.violations()).isEmpty();
    }

    // The entry of a crashed primary expires while the store is away.
    @Test
    void shouldReplacePrimaryWhenItsEntryHasExpired() {
        FailoverFixture fixture = new FailoverFixture();
        fixture.advanceMillis(16_000);
        fixture.advanceWriting(1_000);
        fixture.processes.forEach(p -> p.storeClient.setReachable(false));
        fixture.instance("a").crash();
        fixture.advanceWriting(8_000);
        fixture.processes.forEach(p -> p.storeClient.setReachable(true));
        fixture.dropEntry("a");
        fixture.advanceWriting(20_000);

        assertThat(fixture.service.receivedPromotionRequests()).isNotEmpty();
        assertThat(fixture.service.violations()).isEmpty();
    }

    // A failover that has to wait for a replica outlasts the entry of the primary.
    @Test
    void shouldReplacePrimaryWhenItsEntryExpiresDuringFailover() {
        FailoverFixture fixture = new FailoverFixture(false, 4);
        fixture.advanceMillis(16_000);
        fixture.advanceWriting(1_000);
        fixture.restart(3);
        fixture.instance("b").stopResponding();
        fixture.instance("a").crash();
        fixture.advanceMillis(8_000);
        fixture.dropEntry("a");
        fixture.advanceMillis(1_000);
        fixture.instance("b").recover();
        fixture.advanceMillis(20_000);

        assertThat(fixture.service.receivedPromotionRequests()).isNotEmpty();
        assertThat(fixture.service.violations()).isEmpty();
    }
}
