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
 * An INI text that is read to its end before any fault is reported. A value that is missing or
 * ill-formed is noted as a fault and read as null; {@link #result} builds the whole only if there
 * is no fault and no section or key that nobody asked for.
 */
public final class IniReader {
    private final String source;
    private final IniLineNumbers lines;
    private final Ini ini;
    private final List<ValidationError> faults = new ArrayList<>();
    private final Map<String, Section> asked = new LinkedHashMap<>();

    private IniReader(String source, IniLineNumbers lines, Ini ini) {
        this.source = source;
        this.lines = lines;
        this.ini = ini;
    }

    /**
     * Reads a text.
     *
     * @param source the name of the file or other origin, for faults
     * @param text the INI text
     * @return the text, ready to be asked for sections
     */
    public static IniReader of(String source, String text) {
        requireNonNull(source, "source is null");
        IniLineNumbers lines = IniLineNumbers.scan(source, requireNonNull(text, "text is null"));
        IniReader checked = new IniReader(source, lines, new Ini());
        checked.faults.addAll(lines.errors());
        checked.load(text);
        return checked;
    }

    /**
     * Returns a section.
     *
     * @param name the section's name
     * @return the section, which has no keys if the text lacks it
     */
    public Section section(String name) {
        return asked.computeIfAbsent(name, n -> new Section(n, ini.get(n)));
    }

    /**
     * Returns the sections whose names have two words, the first of them given.
     *
     * @param kind the first word, such as {@code class}
     * @return the sections in their order
     */
    public List<Section> sections(String kind) {
        String prefix = kind + " ";
        return ini.keySet().stream().filter(n -> n.startsWith(prefix)).map(this::section).toList();
    }

    /**
     * Notes a fault that concerns the text as a whole.
     *
     * @param reason what is wrong
     */
    public void addError(String reason) {
        faults.add(new ValidationError(source, 0, "", "", reason));
    }

    /**
     * Ends the reading.
     *
     * @param <T> the type of the whole
     * @param whole builds it from the values read; called only if there is no fault
     * @return the whole or the faults
     */
    public <T> ValidationResult<T> build(Supplier<T> whole) {
        ini.keySet().stream()
                .filter(name -> !asked.containsKey(name))
                .forEach(name -> addError(name, "", "unknown section"));
        asked.values().forEach(Section::reportUnknownKeys);
        return faults.isEmpty()
                ? new ValidationResult<>(Optional.of(whole.get()), List.of())
                : new ValidationResult<>(Optional.empty(), faults);
    }

    private void load(String text) {
        Config config = new Config();
        config.setEscape(false);
        ini.setConfig(config);
        try {
            ini.load(new StringReader(text));
        } catch (IOException e) {
            if (faults.isEmpty()) {
                addError(e.getMessage());
            }
        }
    }

    private void addError(String section, String key, String reason) {
        faults.add(
                new ValidationError(source, lines.lineNumber(section, key), section, key, reason));
    }

    /** One section of the text. */
    public final class Section {
        private final String name;
        private final Map<String, String> values;
        private final Set<String> known = new LinkedHashSet<>();

        private Section(String name, Profile.Section section) {
            this.name = name;
            this.values = section == null ? Map.of() : section;
        }

        /**
         * Returns the second word of the section's name.
         *
         * @return the word, such as the class of {@code [class filing]}
         */
        public String subsection() {
            return name.substring(name.indexOf(' ') + 1).trim();
        }

        /**
         * Reads a key that must be there.
         *
         * @param <T> the type of the value
         * @param key the key
         * @param reader reads the text; its exception's message is the reason of a fault
         * @return the value, or null if there is a fault
         */
        public <T> T required(String key, Function<String, T> reader) {
            Optional<T> value = optional(key, reader);
            if (!values.containsKey(key)) {
                addError(key, "missing");
            }
            return value.orElse(null);
        }

        /**
         * Reads a key that may be missing.
         *
         * @param <T> the type of the value
         * @param key the key
         * @param reader reads the text; its exception's message is the reason of a fault
         * @return the value, empty if it is missing or there is a fault
         */
        public <T> Optional<T> optional(String key, Function<String, T> reader) {
            known.add(key);
            return Optional.ofNullable(values.get(key)).flatMap(text -> read(key, text, reader));
        }

        /**
         * Tells whether a key is there.
         *
         * @param key the key
         * @return true if so, also if its value is ill-formed
         */
        public boolean containsKey(String key) {
            return values.containsKey(key);
        }

        /**
         * Notes a fault.
         *
         * @param key the key, or empty if it concerns the section
         * @param reason what is wrong
         */
        public void addError(String key, String reason) {
            IniReader.this.addError(name, key, reason);
        }

        private <T> Optional<T> read(String key, String text, Function<String, T> reader) {
            try {
                return Optional.of(reader.apply(text.trim()));
            } catch (IllegalArgumentException | DateTimeException e) {
                addError(key, e.getMessage());
                return Optional.empty();
            }
        }

        private void reportUnknownKeys() {
            values.keySet().stream()
                    .filter(key -> !known.contains(key))
                    .forEach(key -> addError(key, "unknown key"));
        }
    }
}
