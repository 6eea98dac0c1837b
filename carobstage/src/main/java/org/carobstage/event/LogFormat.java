package org.carobstage.event;

/** How log lines are written. */
public enum LogFormat {
    /** One line of words an event. */
    TEXT,
    /** One JSON object a line. */
    JSON
}
