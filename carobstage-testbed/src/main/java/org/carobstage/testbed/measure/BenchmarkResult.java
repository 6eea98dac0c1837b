package org.carobstage.testbed.measure;

import static java.util.Objects.requireNonNull;

import java.util.Locale;

/**
 * A measured figure and its target.
 *
 * @param name the name
 * @param value what was measured
 * @param unit the unit, or a dash
 * @param target the bound
 * @param atLeast true if the bound is the least value allowed, false if it is the greatest
 */
public record BenchmarkResult(
        String name, double value, String unit, double target, boolean atLeast) {
    /** Checks the figure. */
    public BenchmarkResult {
        requireNonNull(name, "name is null");
        requireNonNull(unit, "unit is null");
    }

    /**
     * Creates a figure that must not pass its target.
     *
     * @param name the name
     * @param value what was measured
     * @param unit the unit
     * @param target the greatest value allowed
     * @return the figure
     */
    public static BenchmarkResult atMost(String name, double value, String unit, double target) {
        return new BenchmarkResult(name, value, unit, target, false);
    }

    /**
     * Creates a figure that must reach its target.
     *
     * @param name the name
     * @param value what was measured
     * @param unit the unit
     * @param target the least value allowed
     * @return the figure
     */
    public static BenchmarkResult atLeast(String name, double value, String unit, double target) {
        return new BenchmarkResult(name, value, unit, target, true);
    }

    /**
     * Tells whether the target is met.
     *
     * @return true if so
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
