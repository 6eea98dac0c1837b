package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobstage.model.InstanceId;
import org.carobstage.upstream.ConnectionRequest.Purpose;
import org.junit.jupiter.api.Test;

class ExhaustedPurposesTest {
    private final ConnectionQueue queue = ConnectionQueue.empty();
    private final ExhaustedPurposes exhausted = ExhaustedPurposes.none();
    private final AtomicInteger attempts = new AtomicInteger();

    // All clients of a service wait after a start: guards against a cost of each released
    // connection that grows with the queue.
    @Test
    void shouldTryOneRequestOfEachPurposeWhenNoConnectionIsFree() {
        for (int i = 0; i < 200; i++) {
            Purpose purpose = i % 2 == 0 ? Purpose.PRIMARY : Purpose.ANY_INSTANCE;
            queue.tryAdd(request(purpose, Set.of()), 0, Duration.ZERO);
        }
        queue.assignConnections(0, new NoConnections());

        assertThat(attempts).hasValue(2);
        assertThat(queue.size()).isEqualTo(200);
    }

    // Guards against a request that is passed over because one that excludes instances failed.
    @Test
    void shouldTryRequestsAfterOneThatExcludesInstances() {
        queue.tryAdd(request(Purpose.ANY_INSTANCE, Set.of(InstanceId.of("a"))), 0, Duration.ZERO);
        queue.tryAdd(request(Purpose.ANY_INSTANCE, Set.of()), 0, Duration.ZERO);
        queue.assignConnections(0, new NoConnections());

        assertThat(attempts).hasValue(2);
    }

    private static ConnectionRequest request(Purpose purpose, Set<InstanceId> excluded) {
        return new ConnectionRequest(
                purpose,
                excluded,
                Map.of(),
                Duration.ofSeconds(1).toNanos(),
                connection -> {},
                reason -> {});
    }

    private final class NoConnections implements ConnectionSource {
        @Override
        public Optional<PooledConnection> tryGrant(ConnectionRequest request) {
            attempts.incrementAndGet();
            exhausted.add(request);
            return Optional.empty();
        }

        @Override
        public boolean isExhausted(ConnectionRequest request) {
            return exhausted.contains(request);
        }
    }
}
