package org.carobstage.testbed.scenario;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.testbed.history.Violation;

/**
 * The state of a running scenario. The first step that needs the cluster creates it from the
 * settings so far; later changes to the settings have no effect.
 */
final class ScenarioContext {
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration CLOCK_STEP = Duration.ofMillis(1);

    private final Path examples;
    private final Map<String, PendingOperation> operations = new HashMap<>();
    private final List<String> vms = new ArrayList<>(List.of("one", "two"));
    private Layout layout = Layout.AGRESTE;
    private long lagMillis;
    private SimulatedCluster cluster;
    private SimulatedCallers callers;

    ScenarioContext(Path examples) {
        this.examples = examples;
    }

    void setLayout(Layout newLayout) {
        layout = newLayout;
    }

    void setLagMillis(long millis) {
        lagMillis = millis;
    }

    void setVms(List<String> names) {
        vms.clear();
        vms.addAll(names);
    }

    SimulatedCluster cluster() {
        if (cluster == null) {
            cluster = new SimulatedCluster(layout, lagMillis, vms, examples);
            callers = new SimulatedCallers(cluster);
        }
        return cluster;
    }

    SimulatedCallers callers() {
        cluster();
        return callers;
    }

    void registerOperation(String label, PendingOperation operation) {
        operations.put(label, operation);
    }

    PendingOperation.Completion await(String label) {
        PendingOperation operation =
                Optional.ofNullable(operations.get(label))
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "no operation with label " + label));
        long deadlineNanos = cluster().clock().nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!operation.completion().isDone() && cluster.clock().nanoTime() - deadlineNanos < 0) {
            cluster.advance(CLOCK_STEP);
        }
        return Optional.ofNullable(operation.completion().getNow(null))
                .orElseThrow(
                        () -> new IllegalArgumentException("no outcome within " + AWAIT_TIMEOUT));
    }

    long elapsedMillis(String label) {
        Duration elapsed =
                Duration.ofNanos(await(label).endNanos() - operations.get(label).startNanos());
        return elapsed.toMillis();
    }

    List<Violation> checkHistory() {
        List.copyOf(operations.keySet()).forEach(this::await);
        cluster().history().setFinalEntries(cluster.entriesAtPrimary());
        return cluster.history().check();
    }
}
