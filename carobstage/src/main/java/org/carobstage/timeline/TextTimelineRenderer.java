package org.carobstage.timeline;

import java.time.Instant;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Shows a time line as text, one line an event. */
public final class TextTimelineRenderer {
    private TextTimelineRenderer() {}

    /**
     * Writes a time line.
     *
     * @param timeline the time line
     * @return its lines
     */
    public static String render(Timeline timeline) {
        return timeline.events().stream()
                .map(event -> line(event) + "\n")
                .collect(Collectors.joining());
    }

    private static String line(EventMessage event) {
        return Stream.of(
                        Instant.ofEpochMilli(event.millis()).toString(),
                        event.vm(),
                        event.number() + " " + event.name(),
                        field("group", event.group()),
                        field("request", event.request()),
                        field("session", event.session()),
                        event.detail(),
                        field("because of", event.cause()))
                .filter(part -> !part.isEmpty())
                .collect(Collectors.joining("  "));
    }

    private static String field(String name, String value) {
        return value.isEmpty() ? "" : name + " " + value;
    }
}
