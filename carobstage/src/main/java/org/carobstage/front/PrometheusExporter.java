package org.carobstage.front;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tag;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.carobstage.model.ServiceName;
import org.carobstage.quota.QuotaService;
import org.carobstage.runtime.BuildInfoMetric;
import org.carobstage.upstream.PoolCounters;
import org.carobstage.upstream.ServiceGroup;

/**
 * Exports the metrics in Prometheus text format. The registry is built on each scrape to keep the
 * start-up time short.
 */
final class PrometheusExporter {
    private static final Pattern LABEL = Pattern.compile("(\\w+)=\"([^\"]*)\"");
    private static final double[] PERCENTILES = {50, 90, 99, 100};

    private PrometheusExporter() {}

    static String export(
            ProxyMetrics metrics,
            Map<ServiceName, ServiceGroup> groups,
            Optional<QuotaService> quota) {
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        BuildInfoMetric.register(registry);
        metrics.counters().forEach((name, value) -> add(registry, name, value));
        metrics.latencyHistograms()
                .forEach(
                        (consistency, histogram) -> {
                            for (double percentile : PERCENTILES) {
                                add(
                                        registry,
                                        "statement_latency_micros{consistency=\""
                                                + consistency
                                                + "\",percentile=\""
                                                + percentile
                                                + "\"}",
                                        histogram.getValueAtPercentile(percentile));
                            }
                        });
        groups.forEach(
                (name, group) -> {
                    String label = "{service=\"" + name + "\"}";
                    add(registry, "waiting_statements" + label, group.waitingCount());
                    add(registry, "open_connections" + label, group.openConnectionCount());
                    addConnectionCounters(registry, label, group.connectionCounters());
                    add(registry, "primary_term" + label, group.leadership().term().number());
                });
        quota.map(QuotaService::metrics)
                .ifPresent(all -> all.forEach((name, value) -> add(registry, name, value)));
        return registry.scrape();
    }

    private static void addConnectionCounters(
            PrometheusMeterRegistry registry, String label, PoolCounters counters) {
        add(registry, "connection_openings_total" + label, counters.openings());
        add(registry, "connection_evictions_total" + label, counters.evictions());
        add(registry, "connection_refusals_total" + label, counters.refusals());
        add(registry, "connection_backoff_millis" + label, counters.backoff().toMillis());
    }

    private static void add(PrometheusMeterRegistry registry, String name, double value) {
        int labelStart = name.indexOf('{');
        String baseName = labelStart < 0 ? name : name.substring(0, labelStart);
        List<Tag> tags = new ArrayList<>();
        Matcher labels = LABEL.matcher(name);
        while (labels.find()) {
            tags.add(Tag.of(labels.group(1), labels.group(2)));
        }
        Gauge.builder("carobstage_" + baseName, () -> value)
                .tags(tags)
                .strongReference(true)
                .register(registry);
    }
}
