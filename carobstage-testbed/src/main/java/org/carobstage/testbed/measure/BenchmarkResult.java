package org.carobstage.testbed.measure;

import static java.util.Objects.requireNonNull;

import java.util.Locale;

/**
 * A measured figure and its target.
 *
 * @param name the name of the figure
 * @param value the measured value
 * @param unit the unit, or a dash if it has none
 * @param target the limit
 * @param atLeast true if the target is a minimum, false if it is a maximum
 */
public record BenchmarkResult(
        String name, double value, String unit, double target, boolean atLeast) {
    /** Rejects null components. */
    public BenchmarkResult {
        requireNonNull(name, "name is null");
        requireNonNull(unit, "unit is null");
    }

    /**
     * Creates a figure that must not exceed its target.
     *
     * @param name the name of the figure
     * @param value the measured value
     * @param unit the unit
     * @param target the maximum
     * @return the figure
     */
    public static BenchmarkResult atMost(String name, double value, String unit, double target) {
        return new BenchmarkResult(name, value, unit, target, false);
    }

    /**
     * Creates a figure that must reach its target.
     *
     * @param name the name of the figure
     * @param value the measured value
     * @param unit the unit
     * @param target the minimum
     * @return the figure
     */
    public static BenchmarkResult atLeast(String name, double value, String unit, double target) {
        return new BenchmarkResult(name, value, unit, target, true);
    }

    /**
     * Returns whether the target is met.
     *
     * @return true if the value is within the limit
     */
    public boolean isMet() {
        return atLeast ? value >= target : value <= target;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s %.3f %s %s%s %s",
                name,
                value,
                unit,
                atLeast ? ">=" : "<=",
                Double.toString(target).replaceAll("\\.0$", ""),
                isMet() ? "met" : "missed");
    }
}
