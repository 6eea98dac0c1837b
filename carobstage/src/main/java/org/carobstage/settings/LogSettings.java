package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import org.carobstage.event.LogFormat;

/**
 * Log settings of the process.
 *
 * @param format the format of the log lines
 * @param level the lowest level that is logged
 */
public record LogSettings(LogFormat format, System.Logger.Level level) {
    /** Rejects null components. */
    public LogSettings {
        requireNonNull(format, "format is null");
        requireNonNull(level, "level is null");
    }
}
