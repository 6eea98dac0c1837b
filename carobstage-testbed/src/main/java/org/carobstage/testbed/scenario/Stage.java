package org.carobstage.testbed.scenario;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.testbed.history.Violation;

/** A running scenario: its settings until the first step that needs them, then its world. */
final class Stage {
    private static final Duration LONGEST = Duration.ofSeconds(60);
    private static final Duration STEP = Duration.ofMillis(1);

    private final Path examples;
    private final Map<String, Running> running = new HashMap<>();
    private final List<String> vms = new ArrayList<>(List.of("one", "two"));
    private Layout layout = Layout.AGRESTE;
    private long lagMillis;
    private World world;
    private Callers callers;

    Stage(Path examples) {
        this.examples = examples;
    }

    void layout(Layout chosen) {
        layout = chosen;
    }

    void lag(long millis) {
        lagMillis = millis;
    }

    void vms(List<String> names) {
        vms.clear();
        vms.addAll(names);
    }

    World world() {
        if (world == null) {
            world = new World(layout, lagMillis, vms, examples);
            callers = new Callers(world);
        }
        return world;
    }

    Callers callers() {
        world();
        return callers;
    }

    void start(String label, Running operation) {
        running.put(label, operation);
    }

    Running.Ended await(String label) {
        Running operation =
                Optional.ofNullable(running.get(label))
                        .orElseThrow(() -> new IllegalArgumentException("no label " + label));
        long end = world().clock().nanoTime() + LONGEST.toNanos();
        while (!operation.outcome().isDone() && world.clock().nanoTime() - end < 0) {
            world.advance(STEP);
        }
        return Optional.ofNullable(operation.outcome().getNow(null))
                .orElseThrow(() -> new IllegalArgumentException("no outcome within " + LONGEST));
    }

    long took(String label) {
        Duration time = Duration.ofNanos(await(label).endNanos() - running.get(label).startNanos());
        return time.toMillis();
    }

    List<Violation> check() {
        List.copyOf(running.keySet()).forEach(this::await);
        world().history().finish(world.lastEntries());
        return world.history().check();
    }
}
