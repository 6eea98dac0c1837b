package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.carobstage.json.StreamingJson;

/** Formats each log record as one line; an {@link Event} is written with its number and fields. */
public final class LineFormatter extends Formatter {
    private final LogFormat format;

    private LineFormatter(LogFormat format) {
        this.format = format;
    }

    /**
     * Creates a formatter.
     *
     * @param format the format of the lines
     * @return the formatter
     */
    public static LineFormatter of(LogFormat format) {
        return new LineFormatter(requireNonNull(format, "format is null"));
    }

    @Override
    public String format(LogRecord entry) {
        return (format == LogFormat.JSON ? json(entry) : text(entry)) + "\n";
    }

    private String text(LogRecord entry) {
        String line = entry.getInstant() + " " + level(entry) + " ";
        return event(entry)
                .map(event -> line + oneLine(event.toString()))
                .orElseGet(() -> line + entry.getLoggerName() + " : " + message(entry));
    }

    private String json(LogRecord entry) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("time", entry.getInstant().toString());
        fields.put("level", level(entry));
        event(entry).ifPresentOrElse(e -> addEvent(fields, e), () -> addPlain(fields, entry));
        return StreamingJson.writeString(fields);
    }

    private static void addEvent(Map<String, Object> fields, Event event) {
        fields.put("number", event.code().number());
        fields.put("name", event.code().name());
        fields.put("id", event.id().toString());
        fields.putAll(event.scope().fields());
        event.cause().ifPresent(cause -> fields.put("cause", cause.toString()));
        fields.put("detail", event.detail());
    }

    private void addPlain(Map<String, Object> fields, LogRecord entry) {
        fields.put("logger", entry.getLoggerName());
        fields.put("detail", message(entry));
    }

    private String message(LogRecord entry) {
        String thrown =
                Optional.ofNullable(entry.getThrown())
                        .map(e -> " (" + describeChain(e) + ")")
                        .orElse("");
        return oneLine(formatMessage(entry) + thrown);
    }

    private static String describeChain(Throwable thrown) {
        String cause =
                thrown.getCause() == null ? "" : ", from " + describeChain(thrown.getCause());
        String topFrame =
                Arrays.stream(thrown.getStackTrace()).findFirst().map(f -> " at " + f).orElse("");
        return thrown + topFrame + cause;
    }

    private static Optional<Event> event(LogRecord entry) {
        return Optional.ofNullable(entry.getParameters())
                .flatMap(p -> Arrays.stream(p).findFirst())
                .filter(Event.class::isInstance)
                .map(Event.class::cast);
    }

    private static String level(LogRecord entry) {
        return entry.getLevel() == Level.SEVERE ? "ERROR" : entry.getLevel().getName();
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\R", " ");
    }
}
