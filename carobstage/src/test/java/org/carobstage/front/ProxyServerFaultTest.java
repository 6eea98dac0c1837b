package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ProxyServerFaultTest {
    private static final Statement READ = new Statement.Read("k");

    private final FakePlatformAdapter adapter = new FakePlatformAdapter();
    private final RecordingChannel channel = new RecordingChannel();
    private ProxyServer server;

    @BeforeEach
    void start() {
        adapter.routeTable = ProxyServerTest.routes(1, "drafts");
        adapter.store.put("routes", "1");
        adapter.service.instances().forEach(i -> adapter.store.put("instances/" + i.id(), "1"));
        server = ProxyServer.launch(ProxyServerTest.SETTINGS, adapter);
        adapter.clock.advance(Duration.ofSeconds(1));
    }

    // An entry that makes the decoder fail must not end the watch of all others.
    @Test
    void shouldApplyLaterConfigurationWhenDecoderFails() {
        adapter.failingKey = "damaged";
        adapter.store.put("damaged", "1");
        adapter.clock.advance(Duration.ofMillis(200));
        adapter.routeTable = ProxyServerTest.routes(2, "filings");
        adapter.store.put("routes", "2");
        adapter.clock.advance(Duration.ofMillis(200));
        adapter.connect("filings", channel);

        assertThat(channel.isReady).isTrue();
    }

    // An exception in one tick must not end the expiry of instances and failovers for good.
    @Test
    void shouldExpireInstanceWhenOneTickHasFailed() {
        adapter.service.instance("a").crash();
        adapter.service.instance("a").recover();
        adapter.remainingConnectFailures = 1;
        adapter.clock.advance(Duration.ofSeconds(1));
        assertThat(adapter.remainingConnectFailures).isZero();
        assertThat(adapter.service.instance("c").openConnectionCount()).isPositive();
        adapter.store.delete("instances/c");
        adapter.clock.advance(Duration.ofSeconds(60));

        assertThat(adapter.service.instance("c").openConnectionCount()).isZero();
    }

    // Statements that were accepted during a planned stop must be answered, also under load.
    @Test
    void shouldAnswerEveryStatementOfPipeliningClientBeforeStopEnds() {
        ClientSession session = adapter.connect("drafts", channel).orElseThrow();
        int sent = 0;
        server.stop();
        for (int i = 0; i < 6_000 && !server.isStopped() && !channel.isClosed; i++) {
            while (sent - channel.results.size() < 4 && !channel.isClosed) {
                session.receive("r" + sent++, READ);
            }
            adapter.clock.advance(Duration.ofMillis(1));
        }

        assertThat(channel.isClosed).isTrue();
        assertThat(channel.results).hasSize(sent);
    }

    // A commit that is in progress when the process ends leaves its client without the outcome.
    @Test
    void shouldRollBackTransactionThatStaysBusyDuringStop() {
        ClientSession session = adapter.connect("drafts", channel).orElseThrow();
        int sent = 0;
        server.stop();
        for (int i = 0; i < 6_000 && !server.isStopped() && !channel.isClosed; i++) {
            if (sent == channel.results.size()) {
                session.receive("r" + sent, sent == 0 ? new Statement.Begin(false) : READ);
                sent++;
            }
            adapter.clock.advance(Duration.ofMillis(1));
        }

        assertThat(channel.isClosed).isTrue();
        assertThat(channel.results).hasSize(sent);
    }

    // Clients that connect shortly before the process ends must get an answer.
    @Test
    void shouldAnswerClientThatConnectsWhileOthersAreBusyAtTheEndOfStop() {
        ClientSession busy = adapter.connect("drafts", channel).orElseThrow();
        server.stop();
        int sent = 0;
        int unanswered = 0;
        for (int i = 0; i < 600 && !server.isStopped(); i++) {
            while (sent - channel.results.size() < 4 && !channel.isClosed) {
                busy.receive("b" + sent++, READ);
            }
            RecordingChannel late = new RecordingChannel();
            adapter.connect("drafts", late).ifPresent(s -> s.receive("late", READ));
            boolean accepted = late.isReady || !late.rejections.isEmpty();
            for (int j = 0; j < 10; j++) {
                adapter.clock.advance(Duration.ofMillis(1));
            }
            boolean answered = !late.results.isEmpty() || !late.rejections.isEmpty();
            unanswered += accepted && !answered ? 1 : 0;
        }

        assertThat(unanswered).isZero();
    }
}
