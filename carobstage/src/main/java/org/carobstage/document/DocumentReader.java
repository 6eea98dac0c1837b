package org.carobstage.document;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.document.TeamDocument.ClassRule;
import org.carobstage.document.TeamDocument.Hours;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;
import org.carobstage.settings.IniReader;
import org.carobstage.settings.IniReader.Section;
import org.carobstage.settings.ValidationResult;
import org.carobstage.settings.ValueParsers;

/** Reads and validates a team's document from an INI text. */
public final class DocumentReader {
    private static final Duration MIN_PATIENCE = Duration.ofMillis(1);
    private static final Duration MAX_PATIENCE = Duration.ofSeconds(60);
    private static final Duration MAX_STALENESS = Duration.ofHours(24);
    private static final Function<String, Duration> PATIENCE_PARSER =
            ValueParsers.duration(MIN_PATIENCE, MAX_PATIENCE);
    private static final Function<String, Duration> STALENESS_PARSER =
            ValueParsers.duration(Duration.ZERO, MAX_STALENESS);

    private DocumentReader() {}

    /**
     * Reads a document.
     *
     * @param text the INI text
     * @return the document
     * @throws CodedException if the text has errors; its message lists all of them
     */
    public static TeamDocument read(String text) {
        return validate("document", text).orThrow(ErrorCode.BAD_DOCUMENT);
    }

    /**
     * Validates a document.
     *
     * @param source the name of the file, for error messages
     * @param text the INI text
     * @return the document or all errors
     */
    public static ValidationResult<TeamDocument> validate(String source, String text) {
        requireNonNull(text, "text is null");
        IniReader ini = IniReader.of(source, text);
        Section service = ini.section("service");
        ServiceName name = service.required("name", ServiceName::of);
        ZoneId zone = service.required("time-zone", ZoneId::of);
        Duration patience = service.required("patience", PATIENCE_PARSER);
        Map<String, Supplier<ClassRule>> rules = new LinkedHashMap<>();
        ini.sections("class").forEach(s -> rules.put(s.subsection(), classRule(s)));
        if (rules.isEmpty()) {
            ini.addError("at least one section [class NAME] is required");
        }
        List<Supplier<Hours>> hours = hours(ini.sections("hours"));
        return ini.build(
                () ->
                        new TeamDocument(
                                name,
                                zone,
                                classes(rules),
                                patience,
                                hours.stream().map(Supplier::get).toList()));
    }

    private static Map<RequestClass, ClassRule> classes(Map<String, Supplier<ClassRule>> rules) {
        Map<RequestClass, ClassRule> classes = new LinkedHashMap<>();
        rules.forEach((name, rule) -> classes.put(RequestClass.of(name), rule.get()));
        return classes;
    }

    private static Supplier<ClassRule> classRule(Section section) {
        Access access = section.required("access", ValueParsers.oneOf(Access.class));
        Duration maxStaleness =
                section.optional("staleness", STALENESS_PARSER).orElse(Duration.ZERO);
        boolean idempotent =
                section.optional("idempotent", ValueParsers::yesNo).orElse(access == Access.READ);
        if (access == Access.WRITE && section.containsKey("staleness")) {
            section.addError("staleness", "only allowed with access = read");
        }
        if (access == Access.READ && section.containsKey("idempotent")) {
            section.addError(
                    "idempotent", "only allowed with access = write; a read is always idempotent");
        }
        return () -> new ClassRule(access, maxStaleness, idempotent);
    }

    private static List<Supplier<Hours>> hours(List<Section> sections) {
        HoursOverlapChecker overlapChecker = HoursOverlapChecker.create();
        return sections.stream().map(s -> hours(s, overlapChecker)).toList();
    }

    private static Supplier<Hours> hours(Section section, HoursOverlapChecker overlapChecker) {
        LocalTime from = section.required("from", LocalTime::parse);
        LocalTime to = section.required("to", LocalTime::parse);
        Duration patience = section.required("patience", PATIENCE_PARSER);
        if (from != null && to != null) {
            overlapChecker.add(section, from, to);
        }
        return () -> new Hours(from, to, patience);
    }
}
