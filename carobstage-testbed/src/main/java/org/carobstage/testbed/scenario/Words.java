package org.carobstage.testbed.scenario;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Locale;
import java.util.OptionalLong;

/** The words of a line, taken from the left. */
final class Words {
    private final Deque<String> left;

    private Words(Deque<String> left) {
        this.left = left;
    }

    static Words of(String line) {
        return new Words(new ArrayDeque<>(Arrays.asList(line.trim().split("\\s+"))));
    }

    boolean isEmpty() {
        return left.isEmpty();
    }

    String next(String expected) {
        if (left.isEmpty()) {
            throw new IllegalArgumentException("line ends where " + expected + " is expected");
        }
        return left.poll();
    }

    void skip(String word) {
        String found = next(word);
        if (!found.equals(word)) {
            throw new IllegalArgumentException(word + " is expected in place of " + found);
        }
    }

    boolean skipIf(String word) {
        if (!word.equals(left.peek())) {
            return false;
        }
        left.poll();
        return true;
    }

    long number(String expected) {
        String found = next(expected);
        try {
            return Long.parseLong(found);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(expected + " is expected in place of " + found, e);
        }
    }

    OptionalLong numberIfAny() {
        boolean isNumber = !left.isEmpty() && left.peek().chars().allMatch(Character::isDigit);
        return isNumber ? OptionalLong.of(Long.parseLong(left.poll())) : OptionalLong.empty();
    }

    long millis() {
        long amount = number("a number");
        skip("ms");
        return amount;
    }

    <E extends Enum<E>> E choice(Class<E> type) {
        String found = next("one of " + Arrays.toString(type.getEnumConstants()));
        return Arrays.stream(type.getEnumConstants())
                .filter(e -> word(e).equals(found))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "one of "
                                                + Arrays.stream(type.getEnumConstants())
                                                        .map(Words::word)
                                                        .toList()
                                                + " is expected in place of "
                                                + found));
    }

    void end() {
        if (!left.isEmpty()) {
            throw new IllegalArgumentException("line goes on with " + left.peek());
        }
    }

    static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
