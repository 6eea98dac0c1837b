package org.carobstage.front;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counters and latency histograms of statements; used only by the thread that serves sessions. */
final class ProxyMetrics {
    /** Higher latencies are recorded as one minute. */
    private static final long MAX_LATENCY_MICROS = 60_000_000;

    private static final int SIGNIFICANT_DIGITS = 2;

    private final Map<String, Long> counters = new TreeMap<>();
    private final Map<String, Histogram> latencyHistograms = new TreeMap<>();

    private ProxyMetrics() {}

    static ProxyMetrics empty() {
        return new ProxyMetrics();
    }

    void increment(String name) {
        add(name, 1);
    }

    void add(String name, long value) {
        counters.merge(name, value, Long::sum);
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
                        consistency, c -> new Histogram(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS));
        long micros = latency.toNanos() / 1_000;
        histogram.recordValue(Math.max(1, Math.min(MAX_LATENCY_MICROS, micros)));
    }

    Map<String, Long> counters() {
        return counters;
    }

    Map<String, Histogram> latencyHistograms() {
        return latencyHistograms;
    }
}
