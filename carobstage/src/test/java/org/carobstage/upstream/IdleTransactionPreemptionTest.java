package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobstage.upstream.ConnectionRequest.Purpose;
import org.carobstage.upstream.IdleTransactionPreemption.Pins;
import org.junit.jupiter.api.Test;

class IdleTransactionPreemptionTest {
    private static final long MILLI = 1_000_000;

    private final IdleTransaction older = idleSince(0);
    private final IdleTransaction newer = idleSince(500);

    // Guards against a request that is late because idle clients hold all connections.
    @Test
    void shouldSelectTransactionIdleForLongestWhenRequestWouldMissItsTarget() {
        assertThat(select(1_200, 1_400, new Pins(2, 2, 0))).contains(older);
    }

    // Guards against the rollback of a transaction whose client is still at work.
    @Test
    void shouldSelectNothingWhenNoTransactionIsIdleForOverASecond() {
        assertThat(select(1_000, 1_400, new Pins(2, 2, 0))).isEmpty();
    }

    // Guards against rollbacks that no request needs.
    @Test
    void shouldSelectNothingWhenRequestCanWaitOrAnotherConnectionServesIt() {
        assertThat(select(1_200, 3_500, new Pins(2, 2, 0))).isEmpty();
        assertThat(select(1_200, 1_400, new Pins(3, 2, 0))).isEmpty();
        assertThat(select(1_200, 1_400, new Pins(2, 2, 1))).isEmpty();
    }

    // Guards against transactions that take all connections while single statements wait.
    @Test
    void shouldLeaveLastConnectionToStatementsWhenSomeWait() {
        assertThat(TransactionBulkhead.allowsTransaction(2, 1, true)).isFalse();
        assertThat(TransactionBulkhead.allowsTransaction(2, 0, true)).isTrue();
        assertThat(TransactionBulkhead.allowsTransaction(2, 1, false)).isTrue();
        assertThat(TransactionBulkhead.allowsTransaction(1, 0, true)).isTrue();
    }

    private Optional<IdleTransaction> select(long nowMillis, long targetMillis, Pins pins) {
        ConnectionRequest request =
                new ConnectionRequest(
                        new RequestOrigin(Optional.empty(), 0, targetMillis * MILLI),
                        Purpose.PRIMARY,
                        Set.of(),
                        Map.of(),
                        5_000 * MILLI,
                        connection -> {},
                        reason -> {});
        return IdleTransactionPreemption.select(
                List.of(newer, older),
                List.of(new WaitingRequest(request, nowMillis * MILLI, 0)),
                pins,
                nowMillis * MILLI,
                Duration.ofMillis(11));
    }

    private static IdleTransaction idleSince(long millis) {
        return new IdleTransaction(millis * MILLI, (millis + 3_000) * MILLI, () -> {});
    }
}
