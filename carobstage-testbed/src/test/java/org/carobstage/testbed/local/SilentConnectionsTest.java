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

    private final PoolFixture fleet = PoolFixture.of(5, 60, 30, 20);
    private final InstancePool pool = fleet.createPool("one", () -> new Quota(5, 60));

    @BeforeEach
    void openConnections() {
        fleet.advanceMillis(500);
        assertThat(fleet.instance().openSessionCount()).isEqualTo(6);
    }

    @Nested
    class Retire {
        @Test
        void shouldRetireAllTogetherWhenStatementIsLostWhileFreshConnectionWorks() {
            fleet.faultInjector().stallOpenConnections();
            StatementRun lost = fleet.startStatement(pool, 3_000);
            fleet.advanceMillis(510);
            StatementRun moved = fleet.startStatement(pool, 3_000);
            fleet.advanceMillis(300);

            assertThat(lost.isLost()).isTrue();
            assertThat(moved.responseTimeMillis()).isBetween(0L, 100L);
            assertThat(moved.isDoneInTime()).isTrue();
            assertThat(details(EventCode.CONNECTIONS_RETIRED)).hasSize(1);
            assertThat(fleet.counterValue("carobstage.pool.retired")).isEqualTo(5);
        }

        @Test
        void shouldFindSilentConnectionsWithoutStatements() {
            fleet.faultInjector().stallOpenConnections();

            fleet.advanceMillis(2_000);

            assertThat(fleet.counterValue("carobstage.pool.retired")).isEqualTo(6);
            StatementRun run = fleet.startStatement(pool, 100);
            fleet.advanceMillis(100);
            assertThat(run.responseTimeMillis()).isEqualTo(22);
            assertThat(pool.usage().connections()).isEqualTo(fleet.instance().openSessionCount());
        }

        @Test
        void shouldKeepConnectionsWhenInstanceIsFrozenForAWhile() {
            fleet.faultInjector().setFrozen(PRIMARY, true);
            fleet.advanceMillis(2_000);
            fleet.faultInjector().setFrozen(PRIMARY, false);
            fleet.advanceMillis(3_000);

            assertThat(details(EventCode.CONNECTIONS_RETIRED)).isEmpty();
            assertThat(pool.usage().connections()).isEqualTo(fleet.instance().openSessionCount());
        }

        @Test
        void shouldKeepConnectionsThatAnswerWhenOneStatementIsLost() {
            fleet.advanceMillis(400);
            fleet.faultInjector().setFrozen(PRIMARY, true);
            StatementRun lost = fleet.startStatement(pool, 3_000);
            fleet.advanceMillis(450);
            fleet.faultInjector().setFrozen(PRIMARY, false);
            fleet.advanceMillis(1_000);

            assertThat(lost.isLost()).isTrue();
            assertThat(fleet.counterValue("carobstage.pool.retired")).isZero();
        }

        @Test
        void shouldServeRushWithinPatienceWhenAllConnectionsGoSilent() {
            IntStream.range(0, 200).forEach(i -> statement());
            fleet.faultInjector().stallOpenConnections();
            List<StatementRun> runs = IntStream.range(0, 100).mapToObj(i -> statement()).toList();
            fleet.advanceMillis(3_000);

            long lost = runs.stream().filter(StatementRun::isLost).count();
            assertThat(lost).isLessThanOrEqualTo(5);
            assertThat(runs).filteredOn(r -> !r.isLost()).allMatch(StatementRun::isDoneInTime);
        }

        private StatementRun statement() {
            StatementRun run = fleet.startStatement(pool, 2_000);
            fleet.advanceMillis(5);
            return run;
        }
    }

    private List<String> details(EventCode code) {
        return fleet.eventDetails("one", code);
    }
}
