package org.carobstage.document;

import java.time.LocalTime;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.settings.IniReader.Section;

/** Reports [hours] sections whose time ranges overlap; a range may extend past midnight. */
final class HoursOverlapChecker {
    private final List<TimeRange> ranges = new ArrayList<>();

    private HoursOverlapChecker() {}

    static HoursOverlapChecker create() {
        return new HoursOverlapChecker();
    }

    void add(Section section, LocalTime from, LocalTime to) {
        if (from.equals(to)) {
            section.addError("to", "must differ from the value of from");
            return;
        }
        TimeRange range = new TimeRange(section.subsection(), from, to);
        ranges.stream()
                .filter(range::overlaps)
                .forEach(other -> section.addError("", "overlaps with [hours " + other.name + "]"));
        ranges.add(range);
    }

    private record TimeRange(String name, LocalTime from, LocalTime to) {
        private boolean overlaps(TimeRange other) {
            return contains(other.from) || other.contains(from);
        }

        private boolean contains(LocalTime time) {
            boolean isAtOrAfterStart = !time.isBefore(from);
            boolean isBeforeEnd = time.isBefore(to);
            return from.isBefore(to)
                    ? isAtOrAfterStart && isBeforeEnd
                    : isAtOrAfterStart || isBeforeEnd;
        }
    }
}
