package org.carobstage.testbed.local;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.carobstage.event.EventCode;
import org.carobstage.model.InstanceId;
import org.carobstage.pool.InstancePool;
import org.carobstage.pool.Quota;
import org.carobstage.testbed.local.PoolFixture.StatementRun;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SilentConnectionsTest {
    private static final InstanceId PRIMARY = InstanceId.of("a");

    private final PoolFixture fixture = PoolFixture.of(5, 60, 30, 20);
    private final InstancePool pool = fixture.createPool("one", () -> new Quota(5, 60));

    @BeforeEach
    void openConnections() {
        fixture.advanceMillis(500);
        assertThat(fixture.instance().openSessionCount()).isEqualTo(6);
    }

    @Nested
    class Retire {
        @Test
        void shouldRetireStalledConnectionsTogetherWhenNewConnectionResponds() {
            fixture.faultInjector().stallOpenConnections();
            StatementRun unanswered = fixture.startStatement(pool, 3_000);
            fixture.advanceMillis(510);
            StatementRun next = fixture.startStatement(pool, 3_000);
            fixture.advanceMillis(300);

            assertThat(unanswered.hasNoResponse()).isTrue();
            assertThat(next.responseTimeMillis()).isBetween(0L, 100L);
            assertThat(next.isDoneWithinPatience()).isTrue();
            assertThat(eventDetails(EventCode.CONNECTIONS_RETIRED)).hasSize(1);
            assertThat(fixture.counterValue("carobstage.pool.retired")).isEqualTo(5);
        }

        @Test
        void shouldRetireStalledConnectionsWhenNoStatementsRun() {
            fixture.faultInjector().stallOpenConnections();

            fixture.advanceMillis(2_000);

            assertThat(fixture.counterValue("carobstage.pool.retired")).isEqualTo(6);
            StatementRun run = fixture.startStatement(pool, 100);
            fixture.advanceMillis(100);
            assertThat(run.responseTimeMillis()).isEqualTo(22);
            assertThat(pool.usage().connections()).isEqualTo(fixture.instance().openSessionCount());
        }

        @Test
        void shouldKeepConnectionsWhenInstanceIsTemporarilyFrozen() {
            fixture.faultInjector().setFrozen(PRIMARY, true);
            fixture.advanceMillis(2_000);
            fixture.faultInjector().setFrozen(PRIMARY, false);
            fixture.advanceMillis(3_000);

            assertThat(eventDetails(EventCode.CONNECTIONS_RETIRED)).isEmpty();
            assertThat(pool.usage().connections()).isEqualTo(fixture.instance().openSessionCount());
        }

        @Test
        void shouldKeepRespondingConnectionsWhenOneStatementGetsNoResponse() {
            fixture.advanceMillis(400);
            fixture.faultInjector().setFrozen(PRIMARY, true);
            StatementRun unanswered = fixture.startStatement(pool, 3_000);
            fixture.advanceMillis(450);
            fixture.faultInjector().setFrozen(PRIMARY, false);
            fixture.advanceMillis(1_000);

            assertThat(unanswered.hasNoResponse()).isTrue();
            assertThat(fixture.counterValue("carobstage.pool.retired")).isZero();
        }

        @Test
        void shouldServeStatementsWithinPatienceWhenAllConnectionsStall() {
            IntStream.range(0, 200).forEach(i -> startStatement());
            fixture.faultInjector().stallOpenConnections();
            List<StatementRun> runs =
                    IntStream.range(0, 100).mapToObj(i -> startStatement()).toList();
            fixture.advanceMillis(3_000);

            long unanswered = runs.stream().filter(StatementRun::hasNoResponse).count();
            assertThat(unanswered).isLessThanOrEqualTo(5);
            assertThat(runs)
                    .filteredOn(r -> !r.hasNoResponse())
                    .allMatch(StatementRun::isDoneWithinPatience);
        }

        private StatementRun startStatement() {
            StatementRun run = fixture.startStatement(pool, 2_000);
            fixture.advanceMillis(5);
            return run;
        }
    }

    private List<String> eventDetails(EventCode code) {
        return fixture.eventDetails("one", code);
    }
}
