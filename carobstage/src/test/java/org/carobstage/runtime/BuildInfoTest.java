package org.carobstage.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.junit.jupiter.api.Test;

class BuildInfoTest {
    // Two builds of one version look the same to an operator.
    @Test
    void shouldTellDigestAndCommitWhenVersionHasBuildMetadata() {
        BuildInfo build = BuildInfo.parse("0.1.0-SNAPSHOT+2f6c1d09a7be.68f58bcaa7a3");

        assertThat(build)
                .isEqualTo(new BuildInfo("0.1.0-SNAPSHOT", "2f6c1d09a7be", "68f58bcaa7a3"));
        assertThat(build).hasToString("0.1.0-SNAPSHOT+2f6c1d09a7be.68f58bcaa7a3");
        assertThat(build.describe())
                .startsWith(
                        "version=0.1.0-SNAPSHOT digest=2f6c1d09a7be commit=68f58bcaa7a3 jdk=17");
    }

    // A build outside a repository, or by Maven alone, ends the process at its start.
    @Test
    void shouldTellWhatIsUnknownWhenMetadataIsMissing() {
        assertThat(BuildInfo.parse("0.1.0+2f6c1d09a7be."))
                .isEqualTo(new BuildInfo("0.1.0", "2f6c1d09a7be", "unknown"));
        assertThat(BuildInfo.parse("0.1.0"))
                .isEqualTo(new BuildInfo("0.1.0", "unknown", "unknown"));
        assertThat(BuildInfo.current().version()).isEqualTo("development");
    }

    // Micrometer's gauges lose the end of the name.
    @Test
    void shouldExportMetricWhenItIsRegistered() {
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        BuildInfoMetric.register(registry);

        assertThat(registry.scrape())
                .contains("carobstage_build_info{")
                .contains("version=\"development\"", "digest=\"unknown\"");
    }
}
