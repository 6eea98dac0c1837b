package org.carobstage.settings;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Parsers of INI values; each throws {@link IllegalArgumentException} if the text is malformed. */
public final class ValueParsers {
    private static final Pattern FRACTION = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    private ValueParsers() {}

    /**
     * Parses a duration such as {@code 500 ms}, {@code 30 s} or {@code 2 min}.
     *
     * @param text the duration with its unit
     * @return the duration
     * @throws IllegalArgumentException if the text is not a whole number and a unit
     */
    public static Duration duration(String text) {
        String[] parts = text.trim().split("\\s+");
        if (parts.length != 2) {
            throw new IllegalArgumentException("not a duration with a unit: " + text);
        }
        long amount = wholeNumber(parts[0]);
        return switch (parts[1].toLowerCase(Locale.ROOT)) {
            case "ms" -> Duration.ofMillis(amount);
            case "s" -> Duration.ofSeconds(amount);
            case "min" -> Duration.ofMinutes(amount);
            case "h" -> Duration.ofHours(amount);
            default -> throw new IllegalArgumentException("unknown unit: " + parts[1]);
        };
    }

    /**
     * Creates a parser of durations within a range.
     *
     * @param min the shortest duration allowed
     * @param max the longest duration allowed
     * @return the parser
     */
    public static Function<String, Duration> duration(Duration min, Duration max) {
        return text -> requireInRange(duration(text), min, max);
    }

    /**
     * Creates a parser of integers within a range.
     *
     * @param min the lowest value allowed
     * @param max the highest value allowed
     * @return the parser
     */
    public static Function<String, Integer> integer(int min, int max) {
        return text -> (int) (long) requireInRange(wholeNumber(text), (long) min, (long) max);
    }

    /**
     * Creates a parser of fractions within a range.
     *
     * @param min the lowest value allowed
     * @param max the highest value allowed
     * @return the parser
     */
    public static Function<String, Double> fraction(double min, double max) {
        return text -> {
            if (!FRACTION.matcher(text).matches()) {
                throw new IllegalArgumentException("not a decimal fraction: " + text);
            }
            return requireInRange(Double.valueOf(text), min, max);
        };
    }

    /**
     * Creates a parser of the constants of an enum, case-insensitive.
     *
     * @param <E> the enum
     * @param type the class of the enum
     * @return the parser
     */
    public static <E extends Enum<E>> Function<String, E> oneOf(Class<E> type) {
        return text ->
                Arrays.stream(type.getEnumConstants())
                        .filter(constant -> constant.name().equalsIgnoreCase(text))
                        .findFirst()
                        .orElseThrow(() -> unknownConstant(text, type));
    }

    /**
     * Parses {@code yes} or {@code no}.
     *
     * @param text the text
     * @return true for yes
     * @throws IllegalArgumentException if the text is neither
     */
    public static boolean yesNo(String text) {
        return switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw new IllegalArgumentException("neither yes nor no: " + text);
        };
    }

    /**
     * Creates a parser of comma-separated lists.
     *
     * @param <T> the type of an item
     * @param itemParser parses one item
     * @return the parser
     */
    public static <T> Function<String, List<T>> list(Function<String, T> itemParser) {
        return text ->
                Arrays.stream(text.split(","))
                        .map(String::trim)
                        .filter(part -> !part.isEmpty())
                        .map(itemParser)
                        .toList();
    }

    private static long wholeNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a whole number: " + text, e);
        }
    }

    private static <T extends Comparable<T>> T requireInRange(T value, T min, T max) {
        if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
            throw new IllegalArgumentException(
                    "out of range: "
                            + format(value)
                            + " is not in "
                            + format(min)
                            + " to "
                            + format(max));
        }
        return value;
    }

    private static String format(Object value) {
        return value instanceof Duration d ? d.toMillis() + " ms" : value.toString();
    }

    private static <E extends Enum<E>> IllegalArgumentException unknownConstant(
            String text, Class<E> type) {
        String constantNames =
                Arrays.stream(type.getEnumConstants())
                        .map(constant -> constant.name().toLowerCase(Locale.ROOT))
                        .collect(Collectors.joining(", "));
        return new IllegalArgumentException(text + " is not one of " + constantNames);
    }
}
