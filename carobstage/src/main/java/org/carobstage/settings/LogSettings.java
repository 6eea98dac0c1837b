package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import org.carobstage.event.LogFormat;

/**
 * How the process logs.
 *
 * @param format how lines are written
 * @param level the lowest level that is written
 */
public record LogSettings(LogFormat format, System.Logger.Level level) {
    /** Checks the settings. */
    public LogSettings {
        requireNonNull(format, "format is null");
        requireNonNull(level, "level is null");
    }
}
