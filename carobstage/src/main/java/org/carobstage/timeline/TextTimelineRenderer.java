package org.carobstage.timeline;

import java.time.Instant;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Renders a timeline as text, one line per event. */
public final class TextTimelineRenderer {
    private TextTimelineRenderer() {}

    /**
     * Renders a timeline.
     *
     * @param timeline the timeline
     * @return the lines
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
