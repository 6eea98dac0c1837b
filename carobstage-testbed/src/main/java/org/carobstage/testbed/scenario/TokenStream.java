package org.carobstage.testbed.scenario;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Locale;
import java.util.OptionalLong;

/** The words of a line, taken from the left. */
final class TokenStream {
    private final Deque<String> left;

    private TokenStream(Deque<String> left) {
        this.left = left;
    }

    static TokenStream of(String line) {
        return new TokenStream(new ArrayDeque<>(Arrays.asList(line.trim().split("\\s+"))));
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

    void expect(String word) {
        String found = next(word);
        if (!found.equals(word)) {
            throw new IllegalArgumentException(word + " is expected in place of " + found);
        }
    }

    boolean accept(String word) {
        if (!word.equals(left.peek())) {
            return false;
        }
        left.poll();
        return true;
    }

    long nextLong(String expected) {
        String found = next(expected);
        try {
            return Long.parseLong(found);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(expected + " is expected in place of " + found, e);
        }
    }

    OptionalLong nextLongIfPresent() {
        boolean isNumber = !left.isEmpty() && left.peek().chars().allMatch(Character::isDigit);
        return isNumber ? OptionalLong.of(Long.parseLong(left.poll())) : OptionalLong.empty();
    }

    long nextMillis() {
        long amount = nextLong("a number");
        expect("ms");
        return amount;
    }

    <E extends Enum<E>> E nextEnum(Class<E> type) {
        String found = next("one of " + Arrays.toString(type.getEnumConstants()));
        return Arrays.stream(type.getEnumConstants())
                .filter(e -> keyword(e).equals(found))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "one of "
                                                + Arrays.stream(type.getEnumConstants())
                                                        .map(TokenStream::keyword)
                                                        .toList()
                                                + " is expected in place of "
                                                + found));
    }

    void expectEnd() {
        if (!left.isEmpty()) {
            throw new IllegalArgumentException("line goes on with " + left.peek());
        }
    }

    static String keyword(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
