package org.carobstage.testbed.scenario;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Locale;
import java.util.OptionalLong;

/** The tokens of a line, separated by white space and consumed from left to right. */
final class TokenStream {
    private final Deque<String> remaining;

    private TokenStream(Deque<String> remaining) {
        this.remaining = remaining;
    }

    static TokenStream of(String line) {
        return new TokenStream(new ArrayDeque<>(Arrays.asList(line.trim().split("\\s+"))));
    }

    boolean isEmpty() {
        return remaining.isEmpty();
    }

    String next(String expected) {
        if (remaining.isEmpty()) {
            throw new IllegalArgumentException("line ends where " + expected + " is expected");
        }
        return remaining.poll();
    }

    void expect(String token) {
        String found = next(token);
        if (!found.equals(token)) {
            throw new IllegalArgumentException(token + " is expected in place of " + found);
        }
    }

    boolean accept(String token) {
        if (!token.equals(remaining.peek())) {
            return false;
        }
        remaining.poll();
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
        boolean isNumber =
                !remaining.isEmpty() && remaining.peek().chars().allMatch(Character::isDigit);
        return isNumber ? OptionalLong.of(Long.parseLong(remaining.poll())) : OptionalLong.empty();
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
        if (!remaining.isEmpty()) {
            throw new IllegalArgumentException(
                    "the end of the line is expected in place of " + remaining.peek());
        }
    }

    static String keyword(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
