package org.carobstage.testbed.measure;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.carobstage.model.Address;

/** Measures one part of the standard set and prints a line for each figure. */
@Parameters(commandDescription = "Measure running processes against targets")
public final class MeasureCommand {
    private static final Map<String, Benchmark> PARTS =
            Map.of(
                    "throughput", EntryVmBenchmark::measureThroughput,
                    "latency", EntryVmBenchmark::measureAddedLatency,
                    "workloads", WorkloadBenchmark::measure,
                    "failover", FailoverBenchmark::measure,
                    "lag", WorkloadBenchmark::measureWriteLatency);

    @Parameter(names = "--part", required = true, description = "what to measure")
    private List<String> parts = new ArrayList<>();

    @Parameter(names = "--entry", required = true, description = "host:port for callers")
    private List<String> entries = new ArrayList<>();

    @Parameter(names = "--instance", description = "host:port of an instance")
    private List<String> instances = new ArrayList<>();

    @Parameter(names = "--group", description = "database group")
    private String group = "varas-1";

    @Parameter(names = "--seconds", description = "how long each part lasts, in s")
    private long seconds = 5;

    /** Measures and prints. */
    public void run() {
        Duration duration = Duration.ofSeconds(seconds);
        List<Address> callers = entries.stream().map(Address::parse).toList();
        List<Address> databases = instances.stream().map(Address::parse).toList();
        if (parts.remove("idle")) {
            IdleConnectionsBenchmark.measure(callers.get(0), duration).forEach(System.out::println);
        }
        if (parts.isEmpty()) {
            return;
        }
        try (TestEnvironment stand = TestEnvironment.of(group, callers, databases)) {
            parts.forEach(part -> measure(part, stand, duration));
        }
    }

    private static void measure(String part, TestEnvironment stand, Duration duration) {
        Benchmark measurement = PARTS.get(part);
        if (measurement == null) {
            throw new IllegalArgumentException("unknown part: " + part);
        }
        measurement.measure(stand, duration).forEach(System.out::println);
    }
}
