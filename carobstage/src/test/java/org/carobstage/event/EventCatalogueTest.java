package org.carobstage.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EventCatalogueTest {
    private static final Path PAGE = Path.of("..", "docs", "EVENTS.md");
    private static final Pattern ROW =
            Pattern.compile("\\| *(\\d+) *\\| *(\\w+) *\\| *(\\w+) *\\| *\\S.*\\| *\\S.*\\|");

    @Nested
    class Page {
        @Test
        void shouldListEachEventOnceWhenComparedWithCode() throws IOException {
            List<String> expectedRows =
                    Arrays.stream(EventCode.values())
                            .map(e -> e.number() + " " + e + " " + e.level())
                            .toList();

            assertThat(rows()).containsExactlyInAnyOrderElementsOf(expectedRows);
        }

        @Test
        void shouldNumberEventsUniquelyWhenReadFromCode() {
            assertThat(Arrays.stream(EventCode.values()).map(EventCode::number))
                    .doesNotHaveDuplicates();
        }
    }

    private static List<String> rows() throws IOException {
        return Files.readAllLines(PAGE).stream()
                .map(ROW::matcher)
                .filter(Matcher::matches)
                .map(m -> m.group(1) + " " + m.group(2) + " " + m.group(3))
                .toList();
    }
}
