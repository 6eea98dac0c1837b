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
final class ScenarioContext {
    private static final Duration LONGEST = Duration.ofSeconds(60);
    private static final Duration STEP = Duration.ofMillis(1);

    private final Path examples;
    private final Map<String, PendingOperation> running = new HashMap<>();
    private final List<String> setVms = new ArrayList<>(List.of("one", "two"));
    private Layout setLayout = Layout.AGRESTE;
    private long lagMillis;
    private SimulatedCluster cluster;
    private SimulatedCallers callers;

    ScenarioContext(Path examples) {
        this.examples = examples;
    }

    void setLayout(Layout chosen) {
        setLayout = chosen;
    }

    void setLagMillis(long millis) {
        lagMillis = millis;
    }

    void setVms(List<String> names) {
        setVms.clear();
        setVms.addAll(names);
    }

    SimulatedCluster cluster() {
        if (cluster == null) {
            cluster = new SimulatedCluster(setLayout, lagMillis, setVms, examples);
            callers = new SimulatedCallers(cluster);
        }
        return cluster;
    }

    SimulatedCallers callers() {
        cluster();
        return callers;
    }

    void registerOperation(String label, PendingOperation operation) {
        running.put(label, operation);
    }

    PendingOperation.Completion await(String label) {
        PendingOperation operation =
                Optional.ofNullable(running.get(label))
                        .orElseThrow(() -> new IllegalArgumentException("no label " + label));
        long end = cluster().clock().nanoTime() + LONGEST.toNanos();
        while (!operation.completion().isDone() && cluster.clock().nanoTime() - end < 0) {
            cluster.advance(STEP);
        }
        return Optional.ofNullable(operation.completion().getNow(null))
                .orElseThrow(() -> new IllegalArgumentException("no outcome within " + LONGEST));
    }

    long elapsedMillis(String label) {
        Duration time = Duration.ofNanos(await(label).endNanos() - running.get(label).startNanos());
        return time.toMillis();
    }

    List<Violation> checkHistory() {
        List.copyOf(running.keySet()).forEach(this::await);
        cluster().history().setFinalEntries(cluster.entriesAtPrimary());
        return cluster.history().check();
    }
}
