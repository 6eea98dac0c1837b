package org.carobstage.timeline;

import static java.util.Objects.requireNonNull;

/**
 * Selects events by group, request and session; an empty value matches all events.
 *
 * @param group the group
 * @param request the request
 * @param session the session
 */
public record EventFilter(String group, String request, String session) {
    private static final EventFilter ALL = new EventFilter("", "", "");

    /** Rejects null components. */
    public EventFilter {
        requireNonNull(group, "group is null");
        requireNonNull(request, "request is null");
        requireNonNull(session, "session is null");
    }

    /**
     * Returns the filter that matches all events.
     *
     * @return the filter
     */
    public static EventFilter all() {
        return ALL;
    }

    /**
     * Returns whether an event matches this filter.
     *
     * @param event the event
     * @return true if it matches
     */
    public boolean matches(EventMessage event) {
        return matchesPart(group, event.group())
                && matchesPart(request, event.request())
                && matchesPart(session, event.session());
    }

    private static boolean matchesPart(String expected, String actual) {
        return expected.isEmpty() || expected.equals(actual);
    }
}
