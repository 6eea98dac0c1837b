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

    private final AccountMetrics accounts = AccountMetrics.empty();

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

    /** Counts a session or operation that was rejected because of its account. */
    void recordRejection(RejectionCause cause) {
        increment("account_rejections_total{cause=\"" + cause.label + "\"}");
    }

    /** Counts a read that was rejected since no position could be confirmed. */
    void recordMissingEvidence(String consistency) {
        increment("reads_without_evidence_total{consistency=\"" + consistency + "\"}");
    }

    AccountMetrics accounts() {
        return accounts;
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

    /** Returns the counters of connections to instances and of statements that found them busy. */
    Map<String, Long> connectionCounters() {
        Map<String, Long> selected = new TreeMap<>(counters);
        selected.keySet().removeIf(n -> !n.startsWith("connection_") && !n.startsWith("instance_"));
        return selected;
    }

    Map<String, Long> counters() {
        Map<String, Long> all = new TreeMap<>(counters);
        all.putAll(accounts.counters());
        return all;
    }

    Map<String, Histogram> latencyHistograms() {
        return latencyHistograms;
    }

    /** Why a session or an operation was rejected because of its account. */
    enum RejectionCause {
        /** No account holds the key. */
        UNKNOWN_KEY("unknown_key"),
        /** The key of an open session was revoked. */
        REVOKED("revoked"),
        /** The operation exceeds the limit of the account. */
        ACCOUNT_LIMIT("account_limit");

        private final String label;

        RejectionCause(String label) {
            this.label = label;
        }
    }
}
