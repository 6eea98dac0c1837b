package org.carobstage.document;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.StringReader;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.carobstage.document.TeamDocument.ClassRule;
import org.carobstage.document.TeamDocument.Hours;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;
import org.ini4j.Ini;
import org.ini4j.Profile.Section;

/** Reads a team's document from INI. */
public final class DocumentReader {
    private static final String CLASS_PREFIX = "class ";
    private static final String HOURS_PREFIX = "hours ";

    private DocumentReader() {}

    /**
     * Reads a document.
     *
     * @param text the INI text
     * @return the document
     * @throws CodedException if the text does not check
     */
    public static TeamDocument read(String text) {
        requireNonNull(text, "text is null");
        try {
            Ini ini = new Ini(new StringReader(text));
            return read(ini);
        } catch (IOException | IllegalArgumentException | DateTimeException e) {
            throw CodedException.of(ErrorCode.BAD_DOCUMENT, e.getMessage(), e);
        }
    }

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
        long amount = Long.parseLong(parts[0]);
        return switch (parts[1].toLowerCase(Locale.ROOT)) {
            case "ms" -> Duration.ofMillis(amount);
            case "s" -> Duration.ofSeconds(amount);
            case "min" -> Duration.ofMinutes(amount);
            case "h" -> Duration.ofHours(amount);
            default -> throw new IllegalArgumentException("unknown unit: " + parts[1]);
        };
    }

    private static TeamDocument read(Ini ini) {
        Section service = section(ini, "service");
        Map<RequestClass, ClassRule> classes = new LinkedHashMap<>();
        ini.values().stream()
                .filter(s -> s.getName().startsWith(CLASS_PREFIX))
                .forEach(s -> classes.put(className(s), rule(s)));
        return new TeamDocument(
                ServiceName.of(required(service, "name")),
                ZoneId.of(required(service, "time-zone")),
                classes,
                duration(required(service, "patience")),
                hours(ini));
    }

    private static Section section(Ini ini, String name) {
        Section section = ini.get(name);
        if (section == null) {
            throw new IllegalArgumentException("section is missing: " + name);
        }
        return section;
    }

    private static String required(Section section, String key) {
        String value = section.get(key);
        if (value == null) {
            throw new IllegalArgumentException("key is missing: " + section.getName() + "." + key);
        }
        return value;
    }

    private static RequestClass className(Section section) {
        return RequestClass.of(section.getName().substring(CLASS_PREFIX.length()).trim());
    }

    private static ClassRule rule(Section section) {
        String access = required(section, "access").toUpperCase(Locale.ROOT);
        String staleness = section.getOrDefault("staleness", "0 s");
        boolean idempotent = "yes".equals(section.getOrDefault("idempotent", "no"));
        return new ClassRule(RequestPolicy.Access.valueOf(access), duration(staleness), idempotent);
    }

    private static List<Hours> hours(Ini ini) {
        return ini.values().stream()
                .filter(s -> s.getName().startsWith(HOURS_PREFIX))
                .map(DocumentReader::hours)
                .toList();
    }

    private static Hours hours(Section section) {
        return new Hours(
                LocalTime.parse(required(section, "from")),
                LocalTime.parse(required(section, "to")),
                duration(required(section, "patience")));
    }
}
