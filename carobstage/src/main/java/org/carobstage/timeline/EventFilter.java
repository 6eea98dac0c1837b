package org.carobstage.timeline;

import static java.util.Objects.requireNonNull;

/**
 * Chooses events by what they are about; an empty text admits all.
 *
 * @param group the group
 * @param request the request
 * @param session the session
 */
public record EventFilter(String group, String request, String session) {
    private static final EventFilter ALL = new EventFilter("", "", "");

    /** Checks the filter. */
    public EventFilter {
        requireNonNull(group, "group is null");
        requireNonNull(request, "request is null");
        requireNonNull(session, "session is null");
    }

    /**
     * Returns the filter that admits all events.
     *
     * @return the filter
     */
    public static EventFilter all() {
        return ALL;
    }

    /**
     * Tells whether an event is about what this filter asks for.
     *
     * @param event the event
     * @return true if so
     */
    public boolean matches(EventMessage event) {
        return fits(group, event.group())
                && fits(request, event.request())
                && fits(session, event.session());
    }

    private static boolean fits(String wanted, String found) {
        return wanted.isEmpty() || wanted.equals(found);
    }
}
