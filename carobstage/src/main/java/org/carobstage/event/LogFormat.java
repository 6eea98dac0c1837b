package org.carobstage.event;

/** The format of log lines. */
public enum LogFormat {
    /** One line of plain text per event. */
    TEXT,
    /** One JSON object per line. */
    JSON
}
