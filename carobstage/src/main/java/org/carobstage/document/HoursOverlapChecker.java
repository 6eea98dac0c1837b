package org.carobstage.document;

import java.time.LocalTime;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.settings.IniReader.Section;

/** Finds hours that overlap; each may go past midnight. */
final class HoursOverlapChecker {
    private final List<Span> spans = new ArrayList<>();

    private HoursOverlapChecker() {}

    static HoursOverlapChecker create() {
        return new HoursOverlapChecker();
    }

    void add(Section section, LocalTime from, LocalTime to) {
        if (from.equals(to)) {
            section.addError("to", "the same as from");
            return;
        }
        Span span = new Span(section.subsection(), from, to);
        spans.stream()
                .filter(span::overlaps)
                .forEach(other -> section.addError("", "overlaps with [hours " + other.name + "]"));
        spans.add(span);
    }

    private record Span(String name, LocalTime from, LocalTime to) {
        private boolean overlaps(Span other) {
            return contains(other.from) || other.contains(from);
        }

        private boolean contains(LocalTime time) {
            boolean started = !time.isBefore(from);
            boolean open = time.isBefore(to);
            return from.isBefore(to) ? started && open : started || open;
        }
    }
}
