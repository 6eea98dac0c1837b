package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.carobstage.freshness.Moment;
import org.carobstage.freshness.PrimaryPositions.Evidence;
import org.carobstage.model.LogPosition;
import org.junit.jupiter.api.Test;

class LeadProofsTest {
    private final LeadProofs proofs = LeadProofs.empty();
    private final List<LogPosition> proven = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();

    @Test
    void shouldServeAllWhoWaitedWithOneQuestion() {
        wish(0);
        wish(1);
        assertThat(proofs.settle(Optional.empty(), millis(1), false)).isPresent();
        wish(1);
        assertThat(proofs.settle(Optional.empty(), millis(1), false)).isEmpty();

        proofs.settle(evidence(2), millis(4), true);

        assertThat(proven).hasSize(3);
    }

    @Test
    void shouldAskAgainForThoseWhoCameAfterTheQuestion() {
        wish(0);
        proofs.settle(Optional.empty(), millis(0), false);
        wish(3);

        assertThat(proofs.settle(evidence(1), millis(4), true)).isPresent();
        assertThat(proven).hasSize(1);
    }

    @Test
    void shouldNotTrustEvidenceWhenTimeOfDayWasSteppedBack() {
        wish(5);
        Moment stepped = new Moment(millis(6), millis(-1_000));
        Evidence evidence = new Evidence(LogPosition.of(1, 1), stepped);

        proofs.settle(Optional.of(evidence), millis(7), false);

        assertThat(proven).isEmpty();
    }

    @Test
    void shouldRefuseAllWhenNoPrimaryCanAnswer() {
        wish(0);
        proofs.settle(Optional.empty(), millis(0), false);
        proofs.refuse("no primary");

        assertThat(refused).containsExactly("no primary");
    }

    private void wish(long since) {
        proofs.add(at(since), millis(800), proven::add, refused::add);
    }

    private static Optional<Evidence> evidence(long asked) {
        return Optional.of(new Evidence(LogPosition.of(1, 7), at(asked)));
    }

    private static Moment at(long millis) {
        return new Moment(millis(millis), millis(millis));
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
