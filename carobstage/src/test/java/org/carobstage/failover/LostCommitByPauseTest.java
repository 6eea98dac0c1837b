package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.carobstage.model.Term;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against promotions after which a replica that should be paused held a commit alone. */
class LostCommitByPauseTest {
    private final FailoverFixture fixture = new FailoverFixture(false, 4);

    // A pause of a term that the replica has seen has no effect.
    @Test
    @Tag("known-red")
    void shouldNotPromoteWhenPauseHadNoEffectBecauseOfItsTerm() {
        fixture.instance("b").pauseReplication(Term.of(2));
        fixture.instance("b").resumeReplication();
        fixture.advanceWriting(1_000);
        fixture.cutOffPrimary(0, 1, 2);
        fixture.advanceWriting(10_000);

        assertThat(fixture.service.violations()).isEmpty();
    }
}
