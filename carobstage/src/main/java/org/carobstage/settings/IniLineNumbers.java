package org.carobstage.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Where the sections and keys of an INI text stand, and which stand there twice. */
final class IniLineNumbers {
    private static final Pattern COMMENT = Pattern.compile("\\s*([;#].*)?");
    private static final Pattern SECTION = Pattern.compile("\\s*\\[(.*)]\\s*");
    private static final Pattern KEY = Pattern.compile("\\s*([^=:]+?)\\s*[=:].*");

    private final String source;
    private final Map<String, Integer> numbers = new HashMap<>();
    private final List<ValidationError> errors = new ArrayList<>();
    private String section = "";

    private IniLineNumbers(String source) {
        this.source = source;
    }

    static IniLineNumbers scan(String source, String text) {
        IniLineNumbers lines = new IniLineNumbers(source);
        int number = 0;
        for (String line : text.split("\\R", -1)) {
            lines.take(line, ++number);
        }
        return lines;
    }

    /** Returns the line of a key, of its section if the key is missing, or 0. */
    int lineNumber(String ofSection, String key) {
        int line = numbers.getOrDefault(place(ofSection, key), 0);
        return line > 0 ? line : numbers.getOrDefault(place(ofSection, ""), 0);
    }

    List<ValidationError> errors() {
        return errors;
    }

    private void take(String line, int number) {
        Matcher head = SECTION.matcher(line);
        Matcher key = KEY.matcher(line);
        if (COMMENT.matcher(line).matches()) {
            return;
        }
        if (head.matches()) {
            section = head.group(1).trim();
            put("", number, "section stands twice");
        } else if (!key.matches()) {
            errors.add(
                    new ValidationError(
                            source, number, section, "", "neither section nor key = value"));
        } else if (section.isEmpty()) {
            errors.add(
                    new ValidationError(
                            source, number, "", key.group(1), "key outside of a section"));
        } else {
            put(key.group(1), number, "key stands twice");
        }
    }

    private void put(String key, int number, String twice) {
        if (numbers.putIfAbsent(place(section, key), number) != null) {
            errors.add(new ValidationError(source, number, section, key, twice));
        }
    }

    private static String place(String section, String key) {
        return section + "\n" + key;
    }
}
