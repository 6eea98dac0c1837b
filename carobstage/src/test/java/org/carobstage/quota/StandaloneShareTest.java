package org.carobstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.carobstage.account.RateLimit;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Test;

class StandaloneShareTest {
    private static final AccountName ACCOUNT = AccountName.of("acme");

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);

    // Guards against shares that together hold more than the slack and the excess of the burst.
    @Test
    void shouldHoldAtMostSlackAndExcessOfBurstWhenAllSharesAreFull() {
        assertThat(permittedAtOnce(4, new RateLimit(40, 100))).isBetween(26, 30);
        assertThat(permittedAtOnce(31, new RateLimit(40, 100))).isBetween(28, 30);
        assertThat(permittedAtOnce(118, new RateLimit(40, 100))).isBetween(28, 30);
    }

    // Guards against a token of the owner's bucket that a burst of zero does not cover.
    @Test
    void shouldHoldOneTokenLessThanSlackWhenBurstIsZero() {
        assertThat(permittedAtOnce(31, new RateLimit(40, 0))).isBetween(17, 19);
    }

    private int permittedAtOnce(int processes, RateLimit limit) {
        List<VmId> vms = IntStream.range(0, processes).mapToObj(i -> VmId.of("vm-" + i)).toList();
        return vms.stream().mapToInt(vm -> permittedAtOnce(vm, Set.copyOf(vms), limit)).sum();
    }

    /** Fills the share of a process and spends all of it. */
    private int permittedAtOnce(VmId vm, Set<VmId> all, RateLimit limit) {
        Membership membership = Membership.empty();
        membership.onMembers(all, now());
        membership.onRegistered(now());
        StandaloneShare share = StandaloneShare.of(vm, QuotaPolicy.standard(), membership, now());
        clock.advance(Duration.ofSeconds(1));
        share.tryPermit(ACCOUNT, limit, now());
        clock.advance(Duration.ofSeconds(60));
        membership.onRegistered(now());
        return (int)
                IntStream.range(0, 100).filter(i -> share.tryPermit(ACCOUNT, limit, now())).count();
    }

    private ClockReading now() {
        return ClockReading.now(clock);
    }
}
