package org.carobstage.timeline;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Renders a timeline as a self-contained HTML page: a column per VM, an arrow from each cause. */
public final class HtmlTimelineRenderer {
    private static final int COLUMN_WIDTH_PX = 320;
    private static final int ROW_HEIGHT_PX = 34;
    private static final int LEFT_MARGIN_PX = 130;
    private static final int TOP_MARGIN_PX = 50;
    private static final int TEXT_OFFSET_PX = 12;
    private static final String HEAD =
            """
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8"><title>carobstage time line</title>
            <style>
            body { font: 13px sans-serif; margin: 1em; }
            .vm { font-weight: bold; } .time, .detail { fill: #666; font-size: 11px; }
            .lane { stroke: #ccc; } .cause { stroke: #0a58ca; fill: none; marker-end: url(#tip); }
            .INFO { fill: #0a58ca; } .WARNING { fill: #e08a00; } .ERROR { fill: #c00; }
            .DEBUG, .TRACE { fill: #888; }
            </style></head><body><h1>carobstage time line</h1>
            """;
    private static final String ARROW_MARKER =
            "<defs><marker id=\"tip\" markerWidth=\"8\" markerHeight=\"8\" refX=\"9\" refY=\"4\""
                    + " orient=\"auto\"><path d=\"M0,0 L8,4 L0,8 z\" fill=\"#0a58ca\"/></marker>"
                    + "</defs>\n";

    private final List<EventMessage> events;
    private final List<String> vms;
    private final Map<String, Integer> rows = new HashMap<>();
    private final StringBuilder page = new StringBuilder(HEAD);

    private HtmlTimelineRenderer(Timeline timeline) {
        this.events = timeline.events();
        this.vms = events.stream().map(EventMessage::vm).distinct().sorted().toList();
        for (int i = 0; i < events.size(); i++) {
            rows.put(events.get(i).id(), i);
        }
    }

    /**
     * Renders a timeline.
     *
     * @param timeline the timeline
     * @return the page
     */
    public static String render(Timeline timeline) {
        return new HtmlTimelineRenderer(timeline).draw();
    }

    private String draw() {
        int height = TOP_MARGIN_PX + ROW_HEIGHT_PX * (events.size() + 1);
        page.append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"")
                .append(LEFT_MARGIN_PX + COLUMN_WIDTH_PX * vms.size())
                .append("\" height=\"" + height + "\">\n" + ARROW_MARKER);
        vms.forEach(vm -> lane(vm, height));
        events.forEach(this::causeArrow);
        events.forEach(this::event);
        return page.append("</svg></body></html>\n").toString();
    }

    private void lane(String vm, int height) {
        page.append(text("vm", x(vm), TOP_MARGIN_PX / 2, vm));
        page.append(
                "<line class=\"lane\" x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\"/>%n"
                        .formatted(x(vm), TOP_MARGIN_PX - TEXT_OFFSET_PX, x(vm), height));
    }

    private void event(EventMessage event) {
        int y = y(event);
        String title = event.number() + " " + event.name() + " " + event.group();
        page.append(
                "<circle class=\"%s\" cx=\"%d\" cy=\"%d\" r=\"5\"><title>%s</title></circle>%n"
                        .formatted(
                                escape(event.level()), x(event.vm()), y, escape(tooltip(event))));
        page.append(
                text("time", 0, y, Instant.ofEpochMilli(event.millis()).toString().substring(11)));
        page.append(text("", x(event.vm()) + TEXT_OFFSET_PX, y, title));
        page.append(
                text("detail", x(event.vm()) + TEXT_OFFSET_PX, y + TEXT_OFFSET_PX, event.detail()));
    }

    private void causeArrow(EventMessage event) {
        Optional.ofNullable(rows.get(event.cause()))
                .map(events::get)
                .ifPresent(
                        cause ->
                                page.append(
                                        "<path class=\"cause\" d=\"M%d,%d L%d,%d\"/>%n"
                                                .formatted(
                                                        x(cause.vm()),
                                                        y(cause),
                                                        x(event.vm()),
                                                        y(event))));
    }

    private int x(String vm) {
        return LEFT_MARGIN_PX + COLUMN_WIDTH_PX * vms.indexOf(vm);
    }

    private int y(EventMessage event) {
        return TOP_MARGIN_PX + ROW_HEIGHT_PX * rows.get(event.id());
    }

    private static String tooltip(EventMessage event) {
        return event.id() + " " + event.request() + " " + event.session() + " " + event.detail();
    }

    private static String text(String style, int x, int y, String text) {
        return "<text class=\"%s\" x=\"%d\" y=\"%d\">%s</text>%n"
                .formatted(style, x, y, escape(text));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
