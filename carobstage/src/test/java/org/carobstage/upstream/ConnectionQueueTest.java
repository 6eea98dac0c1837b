package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobstage.upstream.ConnectionRequest.Purpose;
import org.junit.jupiter.api.Test;

class ConnectionQueueTest {
    private static final Duration TARGET = Duration.ofMillis(120);
    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private final ConnectionQueue queue = ConnectionQueue.empty();

    // All clients return at once: guards against a backlog that is late in any case and makes all
    // requests late that arrive until it is served.
    @Test
    void shouldServeRequestsThatCanMeetTheirTargetBeforeLateOnes() {
        ConnectionRequest late = add(0);
        ConnectionRequest later = add(50);
        ConnectionRequest fresh = add(300);
        ConnectionRequest fresher = add(310);

        assertThat(servingOrderAt(320)).containsExactly(fresh, fresher, late, later);
    }

    @Test
    void shouldServeByDeadlineWhenNoRequestIsLate() {
        ConnectionRequest second = add(20);
        ConnectionRequest first = add(10);

        assertThat(servingOrderAt(30)).containsExactly(first, second);
    }

    private ConnectionRequest add(int arrivalMillis) {
        ConnectionRequest request = request(arrivalMillis);
        assertThat(queue.tryAdd(request, millis(arrivalMillis), Duration.ZERO)).isEmpty();
        return request;
    }

    private static ConnectionRequest request(int arrivalMillis) {
        long nanos = millis(arrivalMillis);
        return new ConnectionRequest(
                new RequestOrigin(Optional.empty(), 1, nanos + TARGET.toNanos()),
                Purpose.PRIMARY,
                Set.of(),
                Map.of(),
                nanos + TIMEOUT.toNanos(),
                connection -> {},
                reason -> {});
    }

    private List<ConnectionRequest> servingOrderAt(int nowMillis) {
        List<ConnectionRequest> order = new ArrayList<>();
        queue.assignConnections(
                millis(nowMillis),
                request -> {
                    order.add(request);
                    return Optional.empty();
                });
        return order;
    }

    private static long millis(int millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
