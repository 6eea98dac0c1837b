package org.carobstage.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Line numbers of the sections and keys of an INI text; reports duplicates and malformed lines. */
final class IniLineNumbers {
    private static final Pattern COMMENT = Pattern.compile("\\s*([;#].*)?");
    private static final Pattern SECTION = Pattern.compile("\\s*\\[(.*)]\\s*");
    private static final Pattern KEY = Pattern.compile("\\s*([^=:]+?)\\s*[=:].*");

    private final String source;
    private final Map<String, Integer> lineNumbers = new HashMap<>();
    private final List<ValidationError> errors = new ArrayList<>();
    private String section = "";

    private IniLineNumbers(String source) {
        this.source = source;
    }

    static IniLineNumbers scan(String source, String text) {
        IniLineNumbers lines = new IniLineNumbers(source);
        int number = 0;
        for (String line : text.split("\\R", -1)) {
            lines.scanLine(line, ++number);
        }
        return lines;
    }

    /**
     * Returns the line of a key, or that of its section if the key is missing, or 0 if both are.
     */
    int lineNumber(String sectionName, String key) {
        int line = lineNumbers.getOrDefault(qualifiedName(sectionName, key), 0);
        return line > 0 ? line : lineNumbers.getOrDefault(qualifiedName(sectionName, ""), 0);
    }

    List<ValidationError> errors() {
        return errors;
    }

    private void scanLine(String line, int number) {
        Matcher sectionHeader = SECTION.matcher(line);
        Matcher key = KEY.matcher(line);
        if (COMMENT.matcher(line).matches()) {
            return;
        }
        if (sectionHeader.matches()) {
            section = sectionHeader.group(1).trim();
            put("", number, "duplicate section");
        } else if (!key.matches()) {
            errors.add(
                    new ValidationError(
                            source, number, section, "", "expected [section] or key = value"));
        } else if (section.isEmpty()) {
            errors.add(
                    new ValidationError(
                            source, number, "", key.group(1), "key outside of a section"));
        } else {
            put(key.group(1), number, "duplicate key");
        }
    }

    private void put(String key, int number, String duplicateReason) {
        if (lineNumbers.putIfAbsent(qualifiedName(section, key), number) != null) {
            errors.add(new ValidationError(source, number, section, key, duplicateReason));
        }
    }

    private static String qualifiedName(String section, String key) {
        return section + "\n" + key;
    }
}
