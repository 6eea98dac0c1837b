package org.carobstage.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.carobstage.model.GroupId;
import org.carobstage.model.VmId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LineFormatterTest {
    private static final EventId ID = new EventId(VmId.of("one"), 2_001_001);
    private static final Event EVENT =
            new Event(
                    ID,
                    new HybridTime(0, 0),
                    EventCode.CONFIGURATION_APPLIED,
                    EventScope.of(GroupId.of("varas-1")),
                    "two\nlines",
                    Optional.of(new EventId(VmId.of("two"), 1)));

    @Nested
    class Format {
        @Test
        void shouldWriteNumberWithoutGroupingOnOneLineWhenFormatIsText() {
            String line = LineFormatter.of(LogFormat.TEXT).format(entry(Level.INFO, "{0}", EVENT));

            assertThat(line)
                    .isEqualTo(
                            "1970-01-01T00:00:00Z INFO 2001 CONFIGURATION_APPLIED"
                                    + " id=one#2001001 group=varas-1 cause=two#1 : two lines\n");
        }

        @Test
        void shouldWriteOneObjectWithAllFieldsWhenFormatIsJson() {
            String line = LineFormatter.of(LogFormat.JSON).format(entry(Level.INFO, "{0}", EVENT));

            assertThat(line)
                    .contains("\"number\":2001", "\"group\":\"varas-1\"", "\"cause\":\"two#1\"")
                    .containsOnlyOnce("\n");
        }

        @Test
        void shouldWriteThrowableOnSameLineWhenRecordHasThrowable() {
            LogRecord entry = entry(Level.SEVERE, "broken");
            entry.setThrown(new IllegalStateException("a\nb", new RuntimeException("root")));

            String line = LineFormatter.of(LogFormat.TEXT).format(entry);

            assertThat(line).contains("ERROR", "broken", "a b", "root").containsOnlyOnce("\n");
        }
    }

    private static LogRecord entry(Level level, String message, Object... parameters) {
        LogRecord entry = new LogRecord(level, message);
        entry.setInstant(Instant.EPOCH);
        entry.setParameters(parameters);
        return entry;
    }
}
