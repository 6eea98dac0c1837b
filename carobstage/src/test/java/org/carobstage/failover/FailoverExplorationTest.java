package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.carobstage.fake.FakeInstance;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;
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
    private static final int WRITE_INTERVAL_MILLIS = 100;
    private static final int RECOVERY_MILLIS = 24_000;

    private final Map<String, Consumer<FailoverFixture>> faults = faults();

    @Test
    void shouldKeepEveryGuaranteeUnderAnyPairOfFaults() {
        List<String> schedules = schedules();
        List<String> failures = new ArrayList<>();
        int explored = 0;
        for (int i = 0; i < schedules.size(); i += STRIDE) {
            explored++;
            String failure = explore(schedules.get(i));
            if (!failure.isEmpty()) {
                failures.add(schedules.get(i) + ": " + failure);
            }
        }
        System.out.println("explored " + explored + " of " + schedules.size() + " schedules");

        assertThat(failures).isEmpty();
    }

    private List<String> schedules() {
        List<String> schedules = new ArrayList<>();
        for (boolean fencing : new boolean[] {false, true}) {
            for (String first : faults.keySet()) {
                for (String second : faults.keySet()) {
                    for (int step = 0; step < STEPS; step++) {
                        schedules.add(
                                first + ", " + second + ", " + step * STEP_MILLIS + ", " + fencing);
                    }
                }
            }
        }
        return schedules;
    }

    /** Plays a schedule and returns the violated guarantee, or an empty text. */
    private String explore(String schedule) {
        String[] parts = schedule.split(", ");
        boolean fencing = Boolean.parseBoolean(parts[3]);
        FailoverFixture fixture = new FailoverFixture(fencing);
        fixture.service.ignoreFencingTokens(!fencing);
        fixture.service.keepFormerPrimary(!fencing);
        int[] acknowledged = new int[fixture.processes.size()];
        advance(fixture, 1_000, acknowledged);
        fixture.store.copy();
        advance(fixture, 1_000, acknowledged);
        faults.get(parts[0]).accept(fixture);
        advance(fixture, Integer.parseInt(parts[2]), acknowledged);
        faults.get(parts[1]).accept(fixture);
        advance(fixture, 4_000, acknowledged);
        endFaults(fixture);
        advance(fixture, RECOVERY_MILLIS, acknowledged);
        int[] before = acknowledged.clone();
        advance(fixture, 2_000, acknowledged);
        return findViolation(fixture, before, acknowledged);
    }

    private static String findViolation(FailoverFixture fixture, int[] before, int[] after) {
        if (!fixture.service.violations().isEmpty()) {
            return fixture.service.violations().toString();
        }
        for (FakeInstance instance : fixture.service.instances()) {
            if (!instance.replicationPauseTerm().equals(Term.ZERO)) {
                return instance.id() + " is still paused";
            }
        }
        for (int i = 0; i < before.length; i++) {
            if (after[i] == before[i]) {
                return "process " + i + " cannot write";
            }
        }
        return "";
    }

    private static void advance(FailoverFixture fixture, long millis, int[] acknowledged) {
        for (long elapsed = 0; elapsed < millis; elapsed += WRITE_INTERVAL_MILLIS) {
            for (int i = 0; i < acknowledged.length; i++) {
                int process = i;
                fixture.processes.get(i).write(() -> acknowledged[process]++);
            }
            fixture.advanceMillis(Math.min(WRITE_INTERVAL_MILLIS, millis - elapsed));
        }
    }

    private static void endFaults(FailoverFixture fixture) {
        fixture.service.instances().forEach(FakeInstance::recover);
        fixture.service.instances().forEach(i -> i.setReplicationBlocked(false));
        fixture.service.dropPromotionResponses(false);
        fixture.service.delayPromotions(Duration.ZERO);
        fixture.processes.forEach(p -> p.unreachable.clear());
        fixture.processes.forEach(p -> p.storeClient.setReachable(true));
    }

    private static Map<String, Consumer<FailoverFixture>> faults() {
        Map<String, Consumer<FailoverFixture>> faults = new LinkedHashMap<>();
        faults.put("primary crashes", f -> f.instance("a").crash());
        faults.put("primary is silent", f -> f.instance("a").stopResponding());
        faults.put("primary returns", f -> f.instance("a").recover());
        faults.put("replica crashes", f -> f.instance("b").crash());
        faults.put("replica is silent", f -> f.instance("c").stopResponding());
        faults.put("replica receives nothing", f -> f.instance("b").setReplicationBlocked(true));
        faults.put("process loses the primary", f -> cut(f, 0, "a"));
        faults.put(
                "two processes lose the primary",
                f -> {
                    cut(f, 0, "a");
                    cut(f, 1, "a");
                });
        faults.put("process loses the store", f -> setStoreReachable(f, 0, false));
        faults.put(
                "all lose the store",
                f -> f.processes.forEach(p -> p.storeClient.setReachable(false)));
        faults.put("store is restored", f -> f.store.restore());
        faults.put("VM is suspended", f -> f.clock.suspend(Duration.ofSeconds(5)));
        faults.put("promotion is not answered", f -> f.service.dropPromotionResponses(true));
        faults.put(
                "promotion is late",
                f -> {
                    f.service.dropPromotionResponses(true);
                    f.service.delayPromotions(Duration.ofSeconds(5));
                });
        faults.put("primary drains", FailoverExplorationTest::drainPrimary);
        return faults;
    }

    private static void drainPrimary(FailoverFixture fixture) {
        FakeInstance draining = fixture.instance("a").drain();
        fixture.processes.forEach(p -> p.group.put(draining.instanceEntry()));
    }

    private static void cut(FailoverFixture fixture, int process, String instance) {
        fixture.processes.get(process).unreachable.add(InstanceId.of(instance));
    }

    private static void setStoreReachable(FailoverFixture fixture, int process, boolean value) {
        fixture.processes.get(process).storeClient.setReachable(value);
    }
}
