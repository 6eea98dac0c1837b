package org.carobstage.testbed.measure;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.carobstage.config.ConfigurationKeys;
import org.carobstage.config.ConfigurationWriter;
import org.carobstage.model.GroupId;
import org.carobstage.model.MemberState;
import org.carobstage.model.VmId;
import org.carobstage.runtime.PausedClock;
import org.carobstage.testbed.fleet.LocalFleet;

/** Prints what the control of a fleet costs at several sizes: a line {@code name value unit}. */
public final class FleetSlopes {
    private static final int[] SIZES = {5, 50, 200};
    private static final Duration SETTLE = Duration.ofSeconds(30);
    private static final Duration WINDOW = Duration.ofSeconds(60);
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final GroupId GROUP = GroupId.of("varas-1");

    private FleetSlopes() {}

    /**
     * Measures.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        for (int size : SIZES) {
            measure(size);
        }
    }

    private static void measure(int size) {
        PausedClock clock = PausedClock.of(Instant.parse("2026-01-01T00:00:00Z"));
        LocalFleet fleet = LocalFleet.of(clock, size);
        clock.advance(SETTLE);
        steady(clock, fleet, size);
        print("config.in-force", size, inForce(clock, fleet), "ms");
        fleet.kill(size - 1);
        print("membership.detect", size, detect(clock, fleet, size), "ms");
    }

    private static void steady(PausedClock clock, LocalFleet fleet, int size) {
        long calls = fleet.platform().store().calls();
        long cpu = cpuNanos();
        clock.advance(WINDOW);
        double seconds = WINDOW.toSeconds();
        double share = (cpuNanos() - cpu) / 1e9 / seconds / size;
        print("control.cpu-without-codec", size, 100 * share, "percent");
        long after = fleet.platform().store().calls();
        print("platform.calls", size, (after - calls) / seconds, "calls/s");
        fleet.network().count();
        clock.advance(WINDOW);
        print("peer.messages", size, fleet.network().messages() / seconds / size, "messages/s");
        print("peer.bytes", size, fleet.network().bytes() / seconds / size, "bytes/s");
    }

    private static double inForce(PausedClock clock, LocalFleet fleet) {
        ConfigurationWriter.of(fleet.platform())
                .change(ConfigurationKeys.GROUPS + GROUP, 0, group(), "one");
        return wait(
                clock,
                () ->
                        fleet.processes().stream()
                                .allMatch(p -> p.configuration().groups().containsKey(GROUP)));
    }

    private static double detect(PausedClock clock, LocalFleet fleet, int size) {
        VmId dead = VmId.of("vm-" + (size - 1));
        return wait(
                clock,
                () ->
                        fleet.processes().stream()
                                .allMatch(
                                        p ->
                                                p.fleet().members().stream()
                                                        .filter(m -> m.vm().equals(dead))
                                                        .allMatch(
                                                                m ->
                                                                        m.state()
                                                                                == MemberState
                                                                                        .DEAD)));
    }

    private static double wait(PausedClock clock, BooleanSupplier condition) {
        long start = clock.nanoTime();
        while (!condition.getAsBoolean() && clock.nanoTime() - start < LIMIT.toNanos()) {
            clock.advance(STEP);
        }
        return (clock.nanoTime() - start) / 1e6;
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static void print(String name, int size, double value, String unit) {
        System.out.println(String.format(Locale.ROOT, "%s.%d %.2f %s", name, size, value, unit));
    }

    private static String group() {
        return "[group]\nid = varas-1\nslots = 3\nconnections = 20\n"
                + "[instance a]\naddress = 10.0.0.2:1\ndomain = caruaru\n";
    }
}
