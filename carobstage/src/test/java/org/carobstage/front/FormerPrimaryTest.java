package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.Test;

/**
 * Guards against stale reads after a failover during a network partition: the former primary does
 * not know that it was replaced and still executes reads and begins transactions.
 */
class FormerPrimaryTest {
    private static final Statement READ = new Statement.Read("k");

    private final SessionFixture fixture = new SessionFixture();
    private final RecordingChannel channel = new RecordingChannel();

    @Test
    void shouldNotReadAtFormerPrimaryThatBelievesToLead() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.service.keepFormerPrimary(true);
        fixture.service.promote("c");
        fixture.service.instance("b").receive(LogPosition.of(2, 9));
        fixture.service.instance("c").receive(LogPosition.of(2, 9));
        fixture.service.instance("b").failStatements(FailureCode.BUSY, 1);
        fixture.send(session, READ);
        fixture.advanceMillis(100);

        assertThat(channel.lastResult().signature()).isEqualTo("signed-by-c");
    }

    @Test
    void shouldNotReadInTransactionAtFormerPrimaryThatBelievesToLead() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.service.keepFormerPrimary(true);
        fixture.service.promote("b");
        fixture.service.instance("b").receive(LogPosition.of(2, 9));
        fixture.send(session, new Statement.Begin(false));
        String read = fixture.send(session, READ);
        fixture.advanceMillis(400);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(fixture.executedAt("a", read)).isFalse();
    }

    @Test
    void shouldRejectReadAtOnceWhenOnlyFormerPrimaryIsReachable() {
        ClientSession session = fixture.openSession("primary", channel);
        fixture.service.keepFormerPrimary(true);
        fixture.service.instance("b").stopResponding();
        fixture.service.instance("c").stopResponding();
        fixture.advanceMillis(2_500);
        String read = fixture.send(session, READ);
        fixture.advanceMillis(1);

        assertThat(channel.lastResult().hasFailureCode(FailureCode.BUSY)).isTrue();
        assertThat(fixture.executionCount(read)).isZero();
    }

    @Test
    void shouldMakeFormerPrimaryStepDownOverItsOnlyConnection() {
        fixture.group.setConnectionLimit(1, 5);
        fixture.service.keepFormerPrimary(true);
        fixture.service.promote("b");
        ClientSession session = fixture.openSession("primary", channel);
        for (int i = 0; i < 10; i++) {
            fixture.send(session, READ);
            fixture.advanceMillis(100);
        }

        assertThat(fixture.service.instance("a").isPrimary()).isFalse();
    }

    @Test
    void shouldRepeatStepDownOnlyAtIntervalsWhenFormerPrimaryIgnoresIt() {
        fixture.service.keepFormerPrimary(true);
        fixture.service.instance("a").ignoreStepDown();
        fixture.service.promote("b");
        ClientSession session = fixture.openSession("primary", channel);
        int before = queryCount(fixture, "a");
        for (int i = 0; i < 20; i++) {
            fixture.send(session, READ);
            fixture.advanceMillis(100);
        }

        assertThat(fixture.service.instance("a").isPrimary()).isTrue();
        assertThat(fixture.service.instance("a").stepDownCount()).isBetween(1, 5);
        assertThat(queryCount(fixture, "a") - before).isLessThan(60);
    }

    @Test
    void shouldQueryOnlyPrimaryWhenFencingIsEnforced() {
        SessionFixture fenced = new SessionFixture(true);
        int before = queryCount(fenced, "b") + queryCount(fenced, "c");
        int primaryBefore = queryCount(fenced, "a");
        fenced.send(fenced.openSession("primary", channel), READ);
        fenced.advanceMillis(40);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(queryCount(fenced, "a")).isEqualTo(primaryBefore + 1);
        assertThat(queryCount(fenced, "b") + queryCount(fenced, "c")).isEqualTo(before);
    }

    // The platform enforces fencing, but does not reach the former primary.
    @Test
    void shouldNotConfirmPositionOfFormerPrimaryWhenAnotherIsRegistered() {
        SessionFixture fenced = new SessionFixture(true);
        List<LogPosition> positions = new ArrayList<>();
        fenced.service.keepFormerPrimary(true);
        fenced.service.promote("c");
        fenced.service.instance("b").receive(LogPosition.of(2, 9));
        fenced.service.instance("c").stopResponding();
        fenced.group.put(fenced.service.instanceEntry("c"));
        fenced.group.requestReadIndex(
                ClockReading.now(fenced.clock),
                fenced.clock.nanoTime() + 1_000_000_000L,
                false,
                observed -> positions.add(observed.position()),
                reason -> {});
        fenced.advanceMillis(400);

        assertThat(positions).containsExactly(LogPosition.of(2, 9));
    }

    // A transaction that begins there would read without what was committed since.
    @Test
    void shouldNotBeginTransactionAtFormerPrimaryWhenStoreIndicatesReplacement() {
        SessionFixture fenced = new SessionFixture(true);
        ClientSession session = fenced.openSession("primary", channel);
        fenced.service.keepFormerPrimary(true);
        fenced.service.promote("b");
        fenced.service.instance("b").receive(LogPosition.of(2, 9));
        fenced.group.primaryCertainty().setReplacementIndicated(true);
        fenced.send(session, new Statement.Begin(false));
        String read = fenced.send(session, READ);
        fenced.advanceMillis(400);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(fenced.executedAt("a", read)).isFalse();
    }

    // The primary was certain when its connection was requested, and was replaced before the begin.
    @Test
    void shouldNotReadInTransactionAtPrimaryThatIsDoubtedBeforeItsBegin() {
        SessionFixture fenced = new SessionFixture(true);
        ClientSession session = fenced.openSession("primary", channel);
        fenced.send(session, new Statement.Begin(false));
        String read = fenced.send(session, READ);
        fenced.service.keepFormerPrimary(true);
        fenced.service.promote("b");
        fenced.service.instance("b").receive(LogPosition.of(2, 9));
        fenced.group.primaryCertainty().setReplacementIndicated(true);
        fenced.advanceMillis(400);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(fenced.executedAt("a", read)).isFalse();
    }

    @Test
    void shouldReadAtReplicasWhilePrimaryIsLost() {
        ClientSession session = fixture.openSession("primary", channel);
        ClientSession other = fixture.openSession("bounded", new RecordingChannel());
        fixture.service.instance("a").crash();
        fixture.advanceMillis(2_600);
        fixture.send(session, READ);
        String bounded = fixture.send(other, READ);
        fixture.advanceMillis(200);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
        assertThat(fixture.executionCount(bounded)).isEqualTo(1);
    }

    @Test
    void shouldReadWithoutPrimaryWhenItIsBusy() {
        fixture.service.instance("a").failStatusQueries(1_000);
        fixture.send(fixture.openSession("primary", channel), READ);
        fixture.advanceMillis(60);

        assertThat(channel.lastResult().isSuccessful()).isTrue();
    }

    private static int queryCount(SessionFixture fixture, String instance) {
        return fixture.service.instance(instance).statusQueryCount();
    }
}
