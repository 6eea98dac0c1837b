package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.Event;
import org.carobstage.event.EventCode;
import org.carobstage.fake.FakeInstance;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.Test;

class ReadEvidenceEventsTest {
    private static final Statement READ = new Statement.Read("k");

    private final SessionFixture fixture = new SessionFixture();
    private final RecordingChannel channel = new RecordingChannel();

    // A stale read can't be traced if the log doesn't say whose reports confirmed its position.
    @Test
    void shouldRecordReplicasAsBasisWhenPrimaryIsRemoved() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.send(session, READ);
        fixture.advanceMillis(100);
        fixture.service.instance("a").crash();
        fixture.group.remove(InstanceId.of("a"));
        fixture.advanceMillis(500);
        fixture.send(session, READ);
        fixture.advanceMillis(100);

        assertThat(details(EventCode.READ_EVIDENCE_CHANGED))
                .last()
                .asString()
                .contains("basis=replicas")
                .contains("required=2 confirming=[")
                .contains("primary=none")
                .contains("removed=[a 1:0");
        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    // Guards against a line for each read, which would push all others out of the timeline.
    @Test
    void shouldRecordFewLinesWhenReadsAndWritesSucceed() {
        ClientSession primary = fixture.openSession("primary", channel);
        ClientSession bounded = fixture.openSession("bounded", new RecordingChannel());
        for (int i = 0; i < 500; i++) {
            fixture.send(bounded, READ);
            fixture.send(primary, i % 3 == 0 ? new Statement.Write("k", "v") : READ);
            fixture.advanceMillis(40);
        }

        assertThat(details(EventCode.READ_EVIDENCE_CHANGED)).hasSizeLessThan(10);
        assertThat(details(EventCode.READ_EVIDENCE_CONTRADICTED)).isEmpty();
        assertThat(details(EventCode.INSTANCE_LOG_DECREASED)).isEmpty();
    }

    // A replica that restarts with nothing has to be visible before its entry shows it.
    @Test
    void shouldRecordDecreaseWhenReplicaReportsShorterLogBeforeItsEntryArrives() {
        fixture.service.instance("b").receive(LogPosition.of(1, 9));
        fixture.group.requestAllStatuses();
        fixture.advanceMillis(100);
        fixture.service.instance("b").crash();
        fixture.service.addInstance("b", "domain-b");
        fixture.advanceMillis(1_000);
        fixture.group.requestAllStatuses();
        fixture.advanceMillis(100);

        assertThat(details(EventCode.INSTANCE_LOG_DECREASED))
                .singleElement()
                .asString()
                .contains("instance=b before=1:9 after=1:0")
                .contains("born_changed=false");
    }

    @Test
    void shouldRecordChangedEntryWhenReplicaReportsShorterLogAfterIt() {
        FakeInstance b = fixture.service.instance("b");
        b.receive(LogPosition.of(1, 9));
        fixture.group.requestAllStatuses();
        fixture.advanceMillis(100);
        b.crash();
        fixture.service.addInstance("b", "domain-b");
        fixture.group.put(bornLater(fixture.service.instanceEntry("b")));
        fixture.advanceMillis(1_000);
        fixture.group.requestAllStatuses();
        fixture.advanceMillis(100);

        assertThat(details(EventCode.INSTANCE_LOG_DECREASED))
                .singleElement()
                .asString()
                .contains("born_changed=true born=7");
    }

    // Guards against lines of reads that don't say on what evidence their position was confirmed.
    @Test
    void shouldNameBasisWhenReadsAreRetried() {
        for (String database : List.of("primary", "bounded")) {
            fixture.service.instances().forEach(i -> i.failStatements(FailureCode.BUSY, 1));
            fixture.send(fixture.openSession(database, new RecordingChannel()), READ);
            fixture.advanceMillis(400);
        }

        assertThat(details(EventCode.STATEMENT_RETRIED))
                .anyMatch(d -> d.contains("proved=1:0 basis=quorum"))
                .anyMatch(d -> d.contains("evidence=1:0 ") && d.contains(" basis=quorum"));
    }

    @Test
    void shouldCountReadWhenItIsRejectedForMissingEvidence() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.service.instance("b").stopResponding();
        fixture.service.instance("c").stopResponding();
        fixture.advanceMillis(2_500);
        fixture.send(session, READ);
        fixture.send(session, new Statement.Begin(true));
        fixture.send(session, READ);
        fixture.advanceMillis(1);

        assertThat(fixture.metrics.counters())
                .containsEntry("reads_without_evidence_total{consistency=\"PRIMARY\"}", 2L);
    }

    private List<String> details(EventCode code) {
        return fixture.events.localEvents().stream()
                .filter(e -> e.code() == code)
                .map(Event::detail)
                .toList();
    }

    private static InstanceEntry bornLater(InstanceEntry entry) {
        return new InstanceEntry(
                entry.id(),
                entry.service(),
                entry.address(),
                entry.domain(),
                entry.slots(),
                entry.draining(),
                entry.primary(),
                7,
                entry.heartbeat());
    }
}
