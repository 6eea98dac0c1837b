package org.carobstage.testbed.load;

import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** Plots latency over percentile as SVG on logarithmic axes; two nines mean p99. */
final class SvgPlot {
    private static final int WIDTH = 640;
    private static final int HEIGHT = 400;
    private static final int MARGIN = 50;
    private static final int POINTS_PER_NINE = 8;
    private static final int NINES = 4;
    private static final double MIN_MILLIS = 0.01;
    private static final int DECADES = 6;

    private SvgPlot() {}

    static String draw(LoadResults results) {
        String openingTag =
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                        + " font-family=\"sans-serif\" font-size=\"11\">%n";
        return String.format(Locale.ROOT, openingTag, WIDTH, HEIGHT)
                + axisLabels()
                + line(results.entryVmLatencies(), "#1f6fb4", "through an entry VM", 1)
                + line(results.directLatencies(), "#c0504d", "direct", 2)
                + "</svg>\n";
    }

    private static String axisLabels() {
        String latencyLabels =
                IntStream.rangeClosed(0, DECADES)
                        .mapToDouble(i -> MIN_MILLIS * Math.pow(10, i))
                        .mapToObj(millis -> text(5, y(millis), String.format("%.5g ms", millis)))
                        .collect(Collectors.joining());
        String percentileLabels =
                IntStream.rangeClosed(0, NINES)
                        .mapToObj(
                                nines ->
                                        text(
                                                x(nines),
                                                HEIGHT - MARGIN / 2.0,
                                                "p" + 100 * (1 - Math.pow(10, -nines))))
                        .collect(Collectors.joining());
        return latencyLabels + percentileLabels;
    }

    private static String line(Histogram histogram, String color, String label, int legendRow) {
        if (histogram.getTotalCount() == 0) {
            return "";
        }
        String points =
                IntStream.rangeClosed(0, NINES * POINTS_PER_NINE)
                        .mapToDouble(i -> (double) i / POINTS_PER_NINE)
                        .mapToObj(nines -> point(histogram, nines))
                        .collect(Collectors.joining(" "));
        return String.format(
                        "<polyline fill=\"none\" stroke=\"%s\" points=\"%s\"/>%n", color, points)
                + String.format(
                        "<g fill=\"%s\">%s</g>%n", color, text(MARGIN * 2, legendRow * 15, label));
    }

    private static String point(Histogram histogram, double nines) {
        double percentile = 100 * (1 - Math.pow(10, -nines));
        double millis = LoadResults.percentileMillis(histogram, percentile);
        return String.format(Locale.ROOT, "%.1f,%.1f", x(nines), y(millis));
    }

    private static double x(double nines) {
        return MARGIN + nines / NINES * (WIDTH - 2 * MARGIN);
    }

    private static double y(double millis) {
        double decades = Math.log10(Math.max(millis, MIN_MILLIS) / MIN_MILLIS);
        return HEIGHT - MARGIN - decades / DECADES * (HEIGHT - 2 * MARGIN);
    }

    private static String text(double x, double y, String content) {
        return String.format(Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\">%s</text>%n", x, y, content);
    }
}
