package org.carobstage.testbed.measure;

import java.time.Duration;
import java.util.List;

/** A benchmark that runs against a test environment. */
@FunctionalInterface
public interface Benchmark {
    /**
     * Runs the benchmark.
     *
     * @param environment the processes to measure
     * @param duration the length of each measurement
     * @return the measured figures with their targets
     */
    List<BenchmarkResult> measure(TestEnvironment environment, Duration duration);
}
