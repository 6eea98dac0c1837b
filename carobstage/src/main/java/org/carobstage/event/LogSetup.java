package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.List;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets the logging of the process up: one structured line an event on standard error. */
public final class LogSetup {
    /** Kept here because the logging system holds its loggers only weakly. */
    private static final List<Logger> QUIET =
            List.of(Logger.getLogger("io.servicetalk"), Logger.getLogger("io.netty"));

    private LogSetup() {}

    /**
     * Replaces the logging configuration.
     *
     * @param format how lines are written
     * @param level the lowest level that is written
     */
    public static void apply(LogFormat format, System.Logger.Level level) {
        apply(new ConsoleHandler(), format, level);
    }

    /**
     * Replaces the logging configuration by one that writes on standard output, from a bounded
     * ring, so that a full pipe blocks nothing.
     *
     * @param format how lines are written
     * @param level the lowest level that is written
     */
    public static void applyAsync(LogFormat format, System.Logger.Level level) {
        apply(new AsyncLineHandler(System.out), format, level);
    }

    private static void apply(Handler handler, LogFormat format, System.Logger.Level level) {
        requireNonNull(format, "format is null");
        Logger root = Logger.getLogger("");
        Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
        handler.setFormatter(LineFormatter.of(format));
        handler.setLevel(Level.ALL);
        root.addHandler(handler);
        root.setLevel(toJavaUtil(level));
        QUIET.forEach(logger -> logger.setLevel(Level.WARNING));
    }

    private static Level toJavaUtil(System.Logger.Level level) {
        return switch (level) {
            case ALL -> Level.ALL;
            case TRACE -> Level.FINER;
            case DEBUG -> Level.FINE;
            case INFO -> Level.INFO;
            case WARNING -> Level.WARNING;
            case ERROR -> Level.SEVERE;
            case OFF -> Level.OFF;
        };
    }
}
