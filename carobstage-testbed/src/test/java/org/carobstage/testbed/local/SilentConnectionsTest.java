package org.carobstage.testbed.local;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.carobstage.event.EventCode;
import org.carobstage.model.InstanceId;
import org.carobstage.pool.InstancePool;
import org.carobstage.pool.Share;
import org.carobstage.testbed.local.PoolFleet.Run;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SilentConnectionsTest {
    private static final InstanceId PRIMARY = InstanceId.of("a");

    private final PoolFleet fleet = PoolFleet.of(5, 60, 30, 20);
    private final InstancePool pool = fleet.pool("one", () -> new Share(5, 60));

    @BeforeEach
    void openConnections() {
        fleet.advance(500);
        assertThat(fleet.instance().openSessions()).isEqualTo(6);
    }

    @Nested
    class Retire {
        @Test
        void shouldRetireAllTogetherWhenStatementIsLostWhileFreshConnectionWorks() {
            fleet.faults().silenceOpenConnections();
            Run lost = fleet.start(pool, 3_000);
            fleet.advance(510);
            Run moved = fleet.start(pool, 3_000);
            fleet.advance(300);

            assertThat(lost.isLost()).isTrue();
            assertThat(moved.heldMillis()).isBetween(0L, 100L);
            assertThat(moved.isDoneInTime()).isTrue();
            assertThat(details(EventCode.CONNECTIONS_RETIRED)).hasSize(1);
            assertThat(fleet.count("carobstage.pool.retired")).isEqualTo(5);
        }

        @Test
        void shouldFindSilentConnectionsWithoutStatements() {
            fleet.faults().silenceOpenConnections();

            fleet.advance(2_000);

            assertThat(fleet.count("carobstage.pool.retired")).isEqualTo(6);
            Run run = fleet.start(pool, 100);
            fleet.advance(100);
            assertThat(run.heldMillis()).isEqualTo(22);
            assertThat(pool.used().connections()).isEqualTo(fleet.instance().openSessions());
        }

        @Test
        void shouldKeepConnectionsWhenInstanceIsFrozenForAWhile() {
            fleet.faults().freeze(PRIMARY, true);
            fleet.advance(2_000);
            fleet.faults().freeze(PRIMARY, false);
            fleet.advance(3_000);

            assertThat(details(EventCode.CONNECTIONS_RETIRED)).isEmpty();
            assertThat(pool.used().connections()).isEqualTo(fleet.instance().openSessions());
        }

        @Test
        void shouldKeepConnectionsThatAnswerWhenOneStatementIsLost() {
            fleet.advance(400);
            fleet.faults().freeze(PRIMARY, true);
            Run lost = fleet.start(pool, 3_000);
            fleet.advance(450);
            fleet.faults().freeze(PRIMARY, false);
            fleet.advance(1_000);

            assertThat(lost.isLost()).isTrue();
            assertThat(fleet.count("carobstage.pool.retired")).isZero();
        }

        @Test
        void shouldServeRushWithinPatienceWhenAllConnectionsGoSilent() {
            IntStream.range(0, 200).forEach(i -> statement());
            fleet.faults().silenceOpenConnections();
            List<Run> runs = IntStream.range(0, 100).mapToObj(i -> statement()).toList();
            fleet.advance(3_000);

            long lost = runs.stream().filter(Run::isLost).count();
            assertThat(lost).isLessThanOrEqualTo(5);
            assertThat(runs).filteredOn(r -> !r.isLost()).allMatch(Run::isDoneInTime);
        }

        private Run statement() {
            Run run = fleet.start(pool, 2_000);
            fleet.advance(5);
            return run;
        }
    }

    private List<String> details(EventCode code) {
        return fleet.details("one", code);
    }
}
