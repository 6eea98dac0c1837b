package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import java.util.LinkedHashMap;
import java.util.Map;
import org.carobstage.model.GroupId;

/**
 * The group, request and session that an event concerns, for filtering. A value that does not apply
 * is empty.
 *
 * @param group the group
 * @param request the request
 * @param session the session
 */
public record EventScope(String group, String request, String session) {
    private static final EventScope EMPTY = new EventScope("", "", "");

    /** Rejects null components. */
    public EventScope {
        requireNonNull(group, "group is null");
        requireNonNull(request, "request is null");
        requireNonNull(session, "session is null");
    }

    /**
     * Returns the scope of an event that concerns only the process itself.
     *
     * @return the empty scope
     */
    public static EventScope empty() {
        return EMPTY;
    }

    /**
     * Creates the scope of an event that concerns a group.
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

    /**
     * Adds a session.
     *
     * @param id the session's id
     * @return the scope with the session
     */
    public EventScope withSession(String id) {
        return new EventScope(group, request, id);
    }

    /**
     * Returns the values that apply.
     *
     * @return the values by the names of their fields
     */
    public Map<String, String> fields() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("group", group);
        fields.put("request", request);
        fields.put("session", session);
        fields.values().removeIf(String::isEmpty);
        return fields;
    }
}
