package org.carobstage.front;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counters and latency histograms of statements; read by the thread that serves sessions. */
final class ProxyMetrics {
    /** Latencies above a minute are counted as a minute. */
    private static final long HIGHEST_MICROS = 60_000_000;

    private static final int DIGITS = 2;

    private final Map<String, Long> counters = new TreeMap<>();
    private final Map<String, Histogram> latencyHistograms = new TreeMap<>();

    private ProxyMetrics() {}

    static ProxyMetrics empty() {
        return new ProxyMetrics();
    }

    void increment(String name) {
        counters.merge(name, 1L, Long::sum);
    }

    void recordStatement(String consistency, String outcome, Duration latency) {
        increment(
                "statements_total{consistency=\""
                        + consistency
                        + "\",outcome=\""
                        + outcome
                        + "\"}");
        Histogram histogram =
                latencyHistograms.computeIfAbsent(
                        consistency, c -> new Histogram(1, HIGHEST_MICROS, DIGITS));
        long micros = latency.toNanos() / 1_000;
        histogram.recordValue(Math.max(1, Math.min(HIGHEST_MICROS, micros)));
    }

    Map<String, Long> counters() {
        return counters;
    }

    Map<String, Histogram> latencyHistograms() {
        return latencyHistograms;
    }
}
