package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.MessageFilter.Fate;
import org.junit.jupiter.api.Test;

/** Guards against a promotion request that is forgotten while the platform may still execute it. */
class RefusedPromotionTest {
    private static final String LEASE = "carobstage/failover/forms";

    private final FailoverFixture fixture = new FailoverFixture();
    private boolean refusing = true;
    private boolean late = true;

    // The record of a request that was refused for long is old when a repetition is not answered.
    @Test
    void shouldNotForgetRequestWhenItWasRefusedForLongBeforeItWasUnanswered() {
        fixture.service.ignoreFencingTokens(true);
        fixture.service.keepFormerPrimary(true);
        fixture.advanceMillis(16_000);
        fixture.advanceWriting(1_000);
        fixture.service.refusePromotionsOf(holder -> refusing);
        fixture.filter =
                message -> {
                    if (refusing || !late || !message.contains(" PROMOTE ")) {
                        return Fate.DELIVERED;
                    }
                    late = false;
                    return Fate.late(Duration.ofSeconds(11));
                };
        fixture.instance("a").crash();
        fixture.advanceMillis(10_000);
        int refused = fixture.service.receivedPromotionRequests().size();
        refusing = false;
        while (fixture.service.receivedPromotionRequests().size() == refused) {
            fixture.advanceMillis(5);
        }
        String holder = fixture.store.get(LEASE).orElseThrow().split(" ")[0];
        fixture.processes.stream()
                .filter(p -> p.vm().value().equals(holder))
                .forEach(p -> p.storeClient.setReachable(false));
        fixture.store.endLeaseOf(LEASE);
        String request = fixture.service.receivedPromotionRequests().get(0);
        FakeInstance target = fixture.instance(request.split(" ")[0]);
        target.crash();
        fixture.instance("a").recover();
        fixture.advanceWriting(8_000);
        target.setReplicationBlocked(true);
        target.recover();
        fixture.advanceWriting(8_000);

        assertThat(fixture.service.violations()).isEmpty();
    }
}
