package org.carobstage.runtime;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.prometheus.metrics.core.metrics.Info;

/** The metric {@code carobstage_build_info}, whose labels name the build of a process. */
public final class BuildInfoMetric {
    private BuildInfoMetric() {}

    /**
     * Registers the metric. It is of a kind of its own, since the name of a gauge can't end in
     * {@code _info}.
     *
     * @param registry the registry to export it with
     */
    public static void register(PrometheusMeterRegistry registry) {
        BuildInfo build = BuildInfo.current();
        Info info =
                Info.builder()
                        .name("carobstage_build")
                        .help("The build of the process.")
                        .labelNames("version", "digest", "commit", "jdk")
                        .build();
        info.addLabelValues(build.version(), build.digest(), build.commit(), BuildInfo.platform());
        registry.getPrometheusRegistry().register(info);
    }
}
