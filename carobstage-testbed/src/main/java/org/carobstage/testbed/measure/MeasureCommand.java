package org.carobstage.testbed.measure;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.carobstage.model.Address;

/** Runs the selected benchmarks and prints one line per figure. */
@Parameters(commandDescription = "Measure running processes against targets")
public final class MeasureCommand {
    private static final Map<String, Benchmark> BENCHMARKS =
            Map.of(
                    "throughput", EntryVmBenchmark::measureThroughput,
                    "latency", EntryVmBenchmark::measureAddedLatency,
                    "workloads", WorkloadBenchmark::measure,
                    "failover", FailoverBenchmark::measure,
                    "lag", WorkloadBenchmark::measureWriteLatency);

    @Parameter(
            names = "--part",
            required = true,
            description = "throughput, latency, workloads, failover, lag or idle")
    private List<String> parts = new ArrayList<>();

    @Parameter(
            names = "--entry",
            required = true,
            description = "caller address of an entry VM, as host:port")
    private List<String> entries = new ArrayList<>();

    @Parameter(names = "--instance", description = "address of an instance, as host:port")
    private List<String> instances = new ArrayList<>();

    @Parameter(names = "--group", description = "database group")
    private String group = "varas-1";

    @Parameter(names = "--seconds", description = "duration of each part, in s")
    private long seconds = 5;

    /** Runs the benchmarks and prints their results. */
    public void run() {
        Duration duration = Duration.ofSeconds(seconds);
        List<Address> entryAddresses = entries.stream().map(Address::parse).toList();
        List<Address> instanceAddresses = instances.stream().map(Address::parse).toList();
        if (parts.remove("idle")) {
            IdleConnectionsBenchmark.measure(entryAddresses.get(0), duration)
                    .forEach(System.out::println);
        }
        if (parts.isEmpty()) {
            return;
        }
        try (TestEnvironment environment =
                TestEnvironment.of(group, entryAddresses, instanceAddresses)) {
            parts.forEach(part -> measure(part, environment, duration));
        }
    }

    private static void measure(String part, TestEnvironment environment, Duration duration) {
        Benchmark benchmark = BENCHMARKS.get(part);
        if (benchmark == null) {
            throw new IllegalArgumentException("unknown part: " + part);
        }
        benchmark.measure(environment, duration).forEach(System.out::println);
    }
}
