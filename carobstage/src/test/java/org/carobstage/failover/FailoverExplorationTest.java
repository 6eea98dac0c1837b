package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Explores failovers of three instances by three processes under every pair of faults, the second
 * at every step after the first. No acknowledged commit may be lost, no fencing token may have two
 * holders, no replica may stay paused, and once the faults have ended every process writes again.
 *
 * <p>The system property {@code failover.exploration.stride} selects every n-th schedule; 1
 * explores all of them.
 */
class FailoverExplorationTest {
    private static final int STRIDE = Integer.getInteger("failover.exploration.stride", 17);
    private static final int STEP_MILLIS = 250;
    private static final int STEPS = 12;
    private static final int RECOVERY_MILLIS = 24_000;

    private static final Map<String, Consumer<FailoverPlay>> FAULTS = faults();

    @Test
    void shouldKeepEveryGuaranteeUnderAnyPairOfFaults() {
        assertThat(FailoverPlay.explore(schedules(), STRIDE, Schedule::play)).isEmpty();
    }

    private static List<Schedule> schedules() {
        return Stream.of(false, true)
                .flatMap(
                        fencing ->
                                FAULTS.keySet().stream()
                                        .flatMap(first -> schedules(fencing, first)))
                .toList();
    }

    private static Stream<Schedule> schedules(boolean fencing, String first) {
        return FAULTS.keySet().stream()
                .flatMap(
                        second ->
                                IntStream.range(0, STEPS)
                                        .map(step -> step * STEP_MILLIS)
                                        .mapToObj(at -> new Schedule(first, second, at, fencing)));
    }

    private record Schedule(String first, String second, int millisBetween, boolean fencing) {
        private String play() {
            FailoverPlay play = new FailoverPlay(fencing, 3);
            play.advance(1_000);
            play.fixture.store.copy();
            play.advance(1_000);
            FAULTS.get(first).accept(play);
            play.advance(millisBetween);
            FAULTS.get(second).accept(play);
            play.advance(4_000);
            play.endFaults();
            return play.findViolationAfter(RECOVERY_MILLIS);
        }
    }

    private static Map<String, Consumer<FailoverPlay>> faults() {
        Map<String, Consumer<FailoverPlay>> faults = new LinkedHashMap<>();
        faults.put("primary crashes", p -> p.fixture.instance("a").crash());
        faults.put("primary is silent", p -> p.fixture.instance("a").stopResponding());
        faults.put("primary returns", p -> p.fixture.instance("a").recover());
        faults.put("replica crashes", p -> p.fixture.instance("b").crash());
        faults.put("replica is silent", p -> p.fixture.instance("c").stopResponding());
        faults.put(
                "replica receives nothing",
                p -> p.fixture.instance("b").setReplicationBlocked(true));
        faults.put("process loses the primary", p -> p.cut(0, "a"));
        faults.put(
                "two processes lose the primary", p -> List.of(0, 1).forEach(i -> p.cut(i, "a")));
        faults.put(
                "process loses the store",
                p -> p.fixture.processes.get(0).storeClient.setReachable(false));
        faults.put(
                "all lose the store",
                p -> p.fixture.processes.forEach(f -> f.storeClient.setReachable(false)));
        faults.put("store is restored", p -> p.fixture.store.restore());
        faults.put("VM is suspended", p -> p.fixture.clock.suspend(Duration.ofSeconds(5)));
        faults.put(
                "promotion is not answered", p -> p.fixture.service.dropPromotionResponses(true));
        faults.put(
                "promotion is late",
                p -> {
                    p.fixture.service.dropPromotionResponses(true);
                    p.fixture.service.delayPromotions(Duration.ofSeconds(5));
                });
        faults.put("primary drains", FailoverPlay::drainPrimary);
        return faults;
    }
}
