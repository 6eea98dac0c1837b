package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.carobstage.http.Json;
import org.carobstage.testbed.history.Violation;

/** Writes the results of a load run. */
public final class LoadResultsWriter {
    private LoadResultsWriter() {}

    /**
     * Writes the JSON file and a plot next to it, and prints the latency table.
     *
     * @param json the JSON file; the plot has the same name with {@code .svg} appended
     * @param plan the plan of the run
     * @param results the results of the run
     * @param violations the violations in the history
     */
    public static void write(
            Path json, LoadPlan plan, LoadResults results, List<Violation> violations) {
        requireNonNull(json, "json is null");
        LoadResults.Summary summary =
                results.summary(plan, violations.stream().map(Violation::toString).toList());
        try {
            Files.write(json, Json.writeBytes(summary));
            Files.writeString(Path.of(json + ".svg"), SvgPlot.draw(results));
        } catch (IOException e) {
            throw new UncheckedIOException("can't write " + json, e);
        }
        print(summary);
    }

    private static void print(LoadResults.Summary summary) {
        System.out.printf(
                "%-14s %8s %9s %9s %9s %9s%n", "ms", "count", "p50", "p99", "p99.9", "max");
        summary.latencies()
                .forEach(
                        (name, latency) ->
                                System.out.printf(
                                        Locale.ROOT,
                                        "%-14s %8d %9.3f %9.3f %9.3f %9.3f%n",
                                        name,
                                        latency.count(),
                                        latency.p50(),
                                        latency.p99(),
                                        latency.p999(),
                                        latency.max()));
        System.out.println("outcomes " + summary.outcomes() + " errors " + summary.errors());
        System.out.println("violations " + summary.violations().size());
    }
}
