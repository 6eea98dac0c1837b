package org.carobstage.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.junit.jupiter.api.Test;

class ReadEvidenceTest {
    private static final ClockReading NOW = new ClockReading(0, 0);

    // A commit is acknowledged once a replica has it too, so evidence that lacks it is wrong.
    @Test
    void shouldReturnPositionThatTwoInstancesHaveWhenAThirdIsAhead() {
        ReadEvidence evidence = evidenceOf(report("a", 92, true), report("b", 90, true));

        assertThat(evidence.receivedByTwo()).contains(LogPosition.of(1, 90));
    }

    // A replica that has not caught up may lack commits below its position.
    @Test
    void shouldReturnNoPositionWhenOnlyOneInstanceHasCaughtUp() {
        ReadEvidence evidence = evidenceOf(report("a", 92, true), report("b", 90, false));

        assertThat(evidence.receivedByTwo()).isEmpty();
    }

    private static ReadEvidence evidenceOf(InstanceReport... reports) {
        return new ReadEvidence(Optional.empty(), 2, List.of(), List.of(), List.of(reports));
    }

    private static InstanceReport report(String id, long offset, boolean caughtUp) {
        return new InstanceReport(
                InstanceId.of(id),
                Optional.of(LogPosition.of(1, offset)),
                Optional.of(NOW),
                false,
                caughtUp,
                false);
    }
}
