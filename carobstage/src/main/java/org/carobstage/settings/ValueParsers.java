package org.carobstage.settings;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Readers of the kinds of values that INI files hold; each throws when the text is ill-formed. */
public final class ValueParsers {
    private ValueParsers() {}

    /**
     * Reads a duration such as {@code 500 ms}, {@code 30 s} or {@code 2 min}.
     *
     * @param text the duration with its unit
     * @return the duration
     * @throws IllegalArgumentException if the text has another form
     */
    public static Duration duration(String text) {
        String[] parts = text.trim().split("\\s+");
        if (parts.length != 2) {
            throw new IllegalArgumentException("not a duration with its unit: " + text);
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
     * Creates a reader of durations within bounds.
     *
     * @param min the shortest
     * @param max the longest
     * @return the reader
     */
    public static Function<String, Duration> duration(Duration min, Duration max) {
        return text -> within(duration(text), min, max);
    }

    /**
     * Creates a reader of whole numbers within bounds.
     *
     * @param min the lowest
     * @param max the highest
     * @return the reader
     */
    public static Function<String, Integer> integer(int min, int max) {
        return text -> (int) (long) within(wholeNumber(text), (long) min, (long) max);
    }

    /**
     * Creates a reader of the constants of an enum, written in any case.
     *
     * @param <E> the enum
     * @param type the class of the enum
     * @return the reader
     */
    public static <E extends Enum<E>> Function<String, E> oneOf(Class<E> type) {
        return text ->
                Arrays.stream(type.getEnumConstants())
                        .filter(constant -> constant.name().equalsIgnoreCase(text))
                        .findFirst()
                        .orElseThrow(() -> notOneOf(text, type));
    }

    /**
     * Reads {@code yes} or {@code no}.
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
     * Creates a reader of lists with commas between their items.
     *
     * @param <T> the type of an item
     * @param item reads an item
     * @return the reader
     */
    public static <T> Function<String, List<T>> list(Function<String, T> item) {
        return text ->
                Arrays.stream(text.split(","))
                        .map(String::trim)
                        .filter(part -> !part.isEmpty())
                        .map(item)
                        .toList();
    }

    private static long wholeNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a whole number: " + text, e);
        }
    }

    private static <T extends Comparable<T>> T within(T value, T min, T max) {
        if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
            throw new IllegalArgumentException(
                    "out of range: "
                            + show(value)
                            + " is not in "
                            + show(min)
                            + " to "
                            + show(max));
        }
        return value;
    }

    private static String show(Object value) {
        return value instanceof Duration d ? d.toMillis() + " ms" : value.toString();
    }

    private static <E extends Enum<E>> IllegalArgumentException notOneOf(
            String text, Class<E> type) {
        String known =
                Arrays.stream(type.getEnumConstants())
                        .map(constant -> constant.name().toLowerCase(Locale.ROOT))
                        .collect(Collectors.joining(", "));
        return new IllegalArgumentException(text + " is none of " + known);
    }
}
