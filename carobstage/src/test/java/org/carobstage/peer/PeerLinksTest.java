package org.carobstage.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakePeerNetwork;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Test;

class PeerLinksTest {
    private static final Address SERVER = Address.of("127.0.0.1", 9);

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakePeerNetwork network = FakePeerNetwork.of(clock);
    private final Peer server = new Peer(PeerHello.of(VmId.of("server"), "1"));

    PeerLinksTest() {
        server.links.listen(SERVER);
    }

    @Test
    void shouldCarryMessagesInBothDirectionsWhenLinkIsOpen() {
        Peer client = connect(PeerHello.of(VmId.of("client"), "1"));
        client.send("a");
        advance(5);

        assertThat(server.received).containsExactly("client a");
        assertThat(client.received).containsExactly("server re a");
        assertThat(client.links.openLinkCount()).isEqualTo(1);
    }

    // Messages of another version may have another meaning.
    @Test
    void shouldCloseLinkWhenPeerHasOtherVersion() {
        Peer client = connect(new PeerHello(2, VmId.of("client"), "1"));
        client.send("a");
        advance(5);

        assertThat(server.received).isEmpty();
        assertThat(client.links.openLinkCount() + server.links.openLinkCount()).isZero();
    }

    @Test
    void shouldCloseLinkWhenVmIsNotMember() {
        Peer client = connect(PeerHello.of(VmId.of("stranger"), "1"));

        assertThat(client.links.openLinkCount() + server.links.openLinkCount()).isZero();
        assertThat(server.codes()).containsExactly(EventCode.PEER_LINK_FAULT);
    }

    // A peer that cannot be reached must not be tried in a tight loop, nor given up.
    @Test
    void shouldReconnectWithBackoffWhenPeerIsAway() {
        Peer client = connect(PeerHello.of(VmId.of("client"), "1"));
        network.setSilent(SERVER, true);
        advance(60_000);
        assertThat(network.connectCount()).isBetween(30, 90);
        network.setSilent(SERVER, false);
        advance(2_000);

        assertThat(client.links.openLinkCount()).isEqualTo(1);
        assertThat(server.links.openLinkCount()).isEqualTo(1);
    }

    // A connection that no longer responds is not reset by anyone.
    @Test
    void shouldCloseLinkWhenPeerIsSilent() {
        Peer client = connect(PeerHello.of(VmId.of("client"), "1"));
        network.setSilent(SERVER, true);
        advance(1_200);

        assertThat(client.links.openLinkCount() + server.links.openLinkCount()).isZero();
    }

    // A process that was replaced must not be served on the link of its predecessor as well.
    @Test
    void shouldKeepOnlyLatestLinkWhenVmConnectsAgain() {
        connect(PeerHello.of(VmId.of("client"), "1"));
        connect(PeerHello.of(VmId.of("client"), "2"));

        assertThat(server.links.openLinkCount()).isEqualTo(1);
    }

    // One malformed message must end neither the process nor the links to others.
    @Test
    void shouldKeepOtherLinksAndReportOnceASecondWhenPeerSendsMalformedMessages() {
        Peer client = connect(PeerHello.of(VmId.of("client"), "1"));
        Peer faulty = connect(PeerHello.of(VmId.of("faulty"), "1"));
        for (int i = 0; i < 300; i++) {
            faulty.send("malformed");
            client.send("a");
            advance(10);
        }

        assertThat(client.codes()).doesNotContain(EventCode.PEER_LINK_CLOSED);
        assertThat(client.received).hasSizeGreaterThan(290);
        assertThat(server.codes().stream().filter(c -> c == EventCode.PEER_LINK_FAULT).count())
                .isBetween(2L, 4L);
        assertThat(server.links.faultCount()).isGreaterThan(4);
    }

    // A peer that accepts each link and closes it at its first message would be tried 30 times a
    // second, each time with a log line on both sides.
    @Test
    void shouldBackOffWhenEachLinkIsClosedForItsFirstMessage() {
        Peer faulty = connect(PeerHello.of(VmId.of("faulty"), "1"));
        for (int i = 0; i < 1_000; i++) {
            faulty.send("malformed");
            advance(10);
        }

        assertThat(network.connectCount()).isBetween(8, 25);
    }

    private Peer connect(PeerHello hello) {
        Peer client = new Peer(hello);
        client.links.setTargets(Set.of(SERVER));
        advance(100);
        return client;
    }

    private void advance(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    private final class Peer implements PeerLinks.Handler {
        private final EventLog events;
        private final PeerLinks links;
        private final List<String> received = new ArrayList<>();

        private Peer(PeerHello hello) {
            this.events = EventLog.of(hello.vm(), clock, 10_000);
            this.links =
                    PeerLinks.of(
                            network.transport(),
                            clock,
                            events,
                            hello,
                            vm -> !vm.value().equals("stranger"),
                            new Random(7),
                            this);
            tick();
        }

        private void tick() {
            clock.schedule(this::tick, Duration.ofMillis(50));
            send("keep-alive");
            links.tick();
        }

        private void send(String message) {
            links.link(SERVER).ifPresent(l -> l.send(message.getBytes(StandardCharsets.UTF_8)));
        }

        private List<EventCode> codes() {
            return events.localEvents().stream().map(e -> e.code()).toList();
        }

        @Override
        public void onMessage(PeerLink link, byte[] message) {
            String text = new String(message, StandardCharsets.UTF_8);
            if (text.equals("malformed")) {
                throw new IllegalArgumentException(text);
            }
            if (!text.contains("keep-alive")) {
                received.add(link.vm() + " " + text);
            }
            if (!link.isOutgoing()) {
                link.send(("re " + text).getBytes(StandardCharsets.UTF_8));
            }
        }

        @Override
        public void onClosed(PeerLink link) {}
    }
}
