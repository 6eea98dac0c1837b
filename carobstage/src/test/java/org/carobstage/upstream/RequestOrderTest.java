package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.carobstage.model.AccountName;
import org.carobstage.upstream.ConnectionRequest.Purpose;
import org.junit.jupiter.api.Test;

class RequestOrderTest {
    private static final Duration SERVICE_TIME = Duration.ofMillis(10);

    private final Map<String, Integer> served = new HashMap<>();
    private final AccountTurns turns = AccountTurns.empty();
    private final List<WaitingRequest> waiting = new ArrayList<>();

    // Guards against low priority that is served first because it has the earlier deadline.
    @Test
    void shouldRankHigherPriorityFirst() {
        add("a", 1, 250, 500);
        add("a", 0, 250, 1_000);

        assertThat(rankAt(0)).containsExactly(1, 0);
    }

    // Guards against room that is spent on requests whose worth is already reduced.
    @Test
    void shouldRankRequestFirstWhenItCanStillMeetItsTarget() {
        add("a", 0, 100, 500);
        add("a", 0, 250, 1_000);

        assertThat(rankAt(95)).containsExactly(1, 0);
    }

    // Guards against low priority that starves.
    @Test
    void shouldRaisePriorityWhenRequestHasWaitedForHalfOfItsTimeout() {
        add("a", 2, 3_000, 3_000);
        add("a", 1, 4_000, 4_000);

        assertThat(rankAt(1_499)).containsExactly(1, 0);
        assertThat(rankAt(1_500)).containsExactly(0, 1);
    }

    // Guards against retries that displace first attempts because of their earlier deadlines.
    @Test
    void shouldRankRetryAfterFirstAttemptsOfItsPriority() {
        waiting.add(
                new WaitingRequest(request("a", 1, 250, 300).withAttempt(2), 0, waiting.size()));
        add("a", 1, 250, 1_000);
        add("a", 2, 250, 1_000);

        assertThat(rankAt(200)).containsExactly(1, 0, 2);
    }

    // Guards against a flood of one account that delays the requests of the others.
    @Test
    void shouldRankAccountFirstWhenFewerOfItsRequestsAreServed() {
        IntStream.range(0, 3).forEach(i -> add("flood", 0, 250, 1_000 + i));
        add("other", 0, 250, 2_000);
        served.put("flood", 1);
        assertThat(rankAt(0)).containsExactly(3, 0, 1, 2);

        served.clear();
        assertThat(rankAt(0)).containsExactly(0, 3, 1, 2);
    }

    // Guards against a flood that takes the only connection again after each release.
    @Test
    void shouldTakeTurnsWhenNoRequestOfEitherAccountIsServed() {
        add("flood", 0, 250, 1_000);
        add("other", 0, 250, 2_000);
        turns.recordGrant(Optional.of(AccountName.of("flood")));

        assertThat(rankAt(0)).containsExactly(1, 0);
    }

    private void add(String account, int priority, long targetMillis, long deadlineMillis) {
        waiting.add(
                new WaitingRequest(
                        request(account, priority, targetMillis, deadlineMillis),
                        0,
                        waiting.size()));
    }

    private List<Integer> rankAt(long millis) {
        RequestOrder order =
                new RequestOrder(
                        account -> served.getOrDefault(account.orElseThrow().value(), 0), turns);
        return order.rank(waiting, millis * 1_000_000, SERVICE_TIME).stream()
                .map(w -> (int) w.sequence())
                .toList();
    }

    private static ConnectionRequest request(
            String account, int priority, long targetMillis, long deadlineMillis) {
        return new ConnectionRequest(
                new RequestOrigin(
                        Optional.of(AccountName.of(account)), priority, targetMillis * 1_000_000),
                Purpose.PRIMARY,
                Set.of(),
                Map.of(),
                deadlineMillis * 1_000_000,
                connection -> {},
                reason -> {});
    }
}
