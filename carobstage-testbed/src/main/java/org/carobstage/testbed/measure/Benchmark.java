package org.carobstage.testbed.measure;

import java.time.Duration;
import java.util.List;

/** Measures some figures on a stand. */
@FunctionalInterface
public interface Benchmark {
    /**
     * Measures.
     *
     * @param stand the running processes
     * @param duration how long each part of it lasts
     * @return the figures
     */
    List<BenchmarkResult> measure(TestEnvironment stand, Duration duration);
}
