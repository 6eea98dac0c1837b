package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.StringReader;
import java.time.DateTimeException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * Reads an INI text and collects all errors in it before any is reported. A required value that is
 * missing or malformed is recorded as an error and read as null. {@link #build} reports sections
 * and keys that were never read as unknown, and builds the result only if there are no errors.
 */
public final class IniReader {
    private final String source;
    private final IniLineNumbers lines;
    private final Ini ini;
    private final List<ValidationError> errors = new ArrayList<>();
    private final Map<String, Section> sectionsRead = new LinkedHashMap<>();

    private IniReader(String source, IniLineNumbers lines, Ini ini) {
        this.source = source;
        this.lines = lines;
        this.ini = ini;
    }

    /**
     * Parses an INI text.
     *
     * @param source the name of the file or other origin, for error messages
     * @param text the INI text
     * @return the reader of its sections
     */
    public static IniReader of(String source, String text) {
        requireNonNull(source, "source is null");
        IniLineNumbers lines = IniLineNumbers.scan(source, requireNonNull(text, "text is null"));
        IniReader reader = new IniReader(source, lines, new Ini());
        reader.errors.addAll(lines.errors());
        reader.load(text);
        return reader;
    }

    /**
     * Returns a section.
     *
     * @param name the section's name
     * @return the section, without keys if the text does not contain it
     */
    public Section section(String name) {
        return sectionsRead.computeIfAbsent(name, n -> new Section(n, ini.get(n)));
    }

    /**
     * Returns whether the text contains a section, possibly without keys.
     *
     * @param name the section's name
     * @return true if it does
     */
    public boolean hasSection(String name) {
        return ini.containsKey(name);
    }

    /**
     * Returns the sections whose names consist of a type and a subsection name, such as {@code
     * [class filing]}.
     *
     * @param type the section type, such as {@code class}
     * @return the sections of this type, in the order of the text
     */
    public List<Section> sections(String type) {
        String prefix = type + " ";
        return ini.keySet().stream().filter(n -> n.startsWith(prefix)).map(this::section).toList();
    }

    /**
     * Records an error that concerns the text as a whole.
     *
     * @param reason what is wrong
     */
    public void addError(String reason) {
        errors.add(new ValidationError(source, 0, "", "", reason));
    }

    /**
     * Builds the result once all sections and keys have been read.
     *
     * @param <T> the type of the result
     * @param factory builds the result from the values read; called only if there are no errors
     * @return the result or the errors
     */
    public <T> ValidationResult<T> build(Supplier<T> factory) {
        ini.keySet().stream()
                .filter(name -> !sectionsRead.containsKey(name))
                .forEach(name -> addError(name, "", "unknown section"));
        sectionsRead.values().forEach(Section::reportUnknownKeys);
        return errors.isEmpty()
                ? new ValidationResult<>(Optional.of(factory.get()), List.of())
                : new ValidationResult<>(Optional.empty(), errors);
    }

    private void load(String text) {
        Config config = new Config();
        config.setEscape(false);
        ini.setConfig(config);
        try {
            ini.load(new StringReader(text));
        } catch (IOException e) {
            if (errors.isEmpty()) {
                addError(e.getMessage());
            }
        }
    }

    private void addError(String section, String key, String reason) {
        errors.add(
                new ValidationError(source, lines.lineNumber(section, key), section, key, reason));
    }

    /** One section of the text. */
    public final class Section {
        private final String name;
        private final Map<String, String> values;
        private final Set<String> keysRead = new LinkedHashSet<>();

        private Section(String name, Profile.Section section) {
            this.name = name;
            this.values = section == null ? Map.of() : section;
        }

        /**
         * Returns the subsection name, the second part of the section's name.
         *
         * @return the subsection name, such as {@code filing} of {@code [class filing]}
         */
        public String subsection() {
            return name.substring(name.indexOf(' ') + 1).trim();
        }

        /**
         * Reads the value of a required key.
         *
         * @param <T> the type of the value
         * @param key the key
         * @param parser parses the text; the message of its exception is the reason of the error
         * @return the value, or null if the key is missing or its value is malformed
         */
        public <T> T required(String key, Function<String, T> parser) {
            Optional<T> value = optional(key, parser);
            if (!values.containsKey(key)) {
                addError(key, "missing");
            }
            return value.orElse(null);
        }

        /**
         * Reads the value of an optional key.
         *
         * @param <T> the type of the value
         * @param key the key
         * @param parser parses the text; the message of its exception is the reason of the error
         * @return the value, or empty if the key is missing or its value is malformed
         */
        public <T> Optional<T> optional(String key, Function<String, T> parser) {
            keysRead.add(key);
            return Optional.ofNullable(values.get(key)).flatMap(text -> parse(key, text, parser));
        }

        /**
         * Returns whether the section contains a key.
         *
         * @param key the key
         * @return true if the key is present, even if its value is malformed
         */
        public boolean containsKey(String key) {
            return values.containsKey(key);
        }

        /**
         * Records an error.
         *
         * @param key the key, or empty if the error concerns the section
         * @param reason what is wrong
         */
        public void addError(String key, String reason) {
            IniReader.this.addError(name, key, reason);
        }

        private <T> Optional<T> parse(String key, String text, Function<String, T> parser) {
            try {
                return Optional.of(parser.apply(text.trim()));
            } catch (IllegalArgumentException | DateTimeException e) {
                addError(key, e.getMessage());
                return Optional.empty();
            }
        }

        private void reportUnknownKeys() {
            values.keySet().stream()
                    .filter(key -> !keysRead.contains(key))
                    .forEach(key -> addError(key, "unknown key"));
        }
    }
}
