package org.carobstage.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.carobstage.event.EventLog;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.runtime.PausedClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TcpPeerNetworkTest {
    private static final PeerMessage PING = new PeerMessage.Ping(1, VmId.of("b"), 2, List.of());
    private static final PeerMessage ACK = new PeerMessage.Ack(1, 2, List.of());

    @Nested
    class Send {
        @Test
        void shouldCarryMessagesBothWaysWhenTheSecretIsShared() throws Exception {
            try (PeerNetwork one = network("a");
                    PeerNetwork two = network("b")) {
                CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
                one.listen((from, message) -> answer.complete(message));
                two.listen((from, message) -> two.send(from, ACK));

                one.send(two.address(), PING);

                assertThat(answer.get(10, TimeUnit.SECONDS)).isEqualTo(ACK);
            }
        }
    }

    private static PeerNetwork network(String vm) {
        PausedClock clock = PausedClock.of(Instant.parse("2026-01-01T00:00:00Z"));
        EventLog events = EventLog.of(VmId.of(vm), clock, 10);
        PeerSecret secret = PeerSecret.of(new byte[] {1, 2, 3});
        return TcpPeerNetwork.of(Address.of("127.0.0.1", 0), secret, events);
    }
}
