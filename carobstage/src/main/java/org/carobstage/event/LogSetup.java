package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.List;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures the logging of the process: one structured line per event. */
public final class LogSetup {
    /** Strong references; the logging system itself only holds weak references to loggers. */
    private static final List<Logger> QUIET_LOGGERS =
            List.of(Logger.getLogger("io.servicetalk"), Logger.getLogger("io.netty"));

    private LogSetup() {}

    /**
     * Replaces the logging configuration by one that writes to standard error.
     *
     * @param format the format of the lines
     * @param level the lowest level to write
     */
    public static void apply(LogFormat format, System.Logger.Level level) {
        apply(new ConsoleHandler(), format, level);
    }

    /**
     * Replaces the logging configuration by one that writes to standard output through a bounded
     * queue, so that a full pipe does not block the threads that log.
     *
     * @param format the format of the lines
     * @param level the lowest level to write
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
        QUIET_LOGGERS.forEach(logger -> logger.setLevel(Level.WARNING));
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
