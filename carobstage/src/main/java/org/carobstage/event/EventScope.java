package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.GroupId;

/**
 * What an event is about, for filters; an empty text means that it does not apply.
 *
 * @param group the group
 * @param request the request
 * @param session the session
 */
public record EventScope(String group, String request, String session) {
    private static final EventScope EMPTY = new EventScope("", "", "");

    /** Checks the scope. */
    public EventScope {
        requireNonNull(group, "group is null");
        requireNonNull(request, "request is null");
        requireNonNull(session, "session is null");
    }

    /**
     * Returns the scope of an event about the process itself.
     *
     * @return the empty scope
     */
    public static EventScope empty() {
        return EMPTY;
    }

    /**
     * Creates the scope of an event about a group.
     *
     * @param group the group
     * @return the scope
     */
    public static EventScope of(GroupId group) {
        return new EventScope(group.value(), "", "");
    }

    /**
     * Adds a request.
     *
     * @param id the request's id
     * @return the scope with the request
     */
    public EventScope withRequest(String id) {
        return new EventScope(group, id, session);
    }
}
