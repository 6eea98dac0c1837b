package org.carobstage.timeline;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.carobstage.event.Event;
import org.carobstage.event.EventId;
import org.carobstage.event.HybridTime;

/**
 * An event in JSON; can also be read if this version does not define its number.
 *
 * @param id the id
 * @param vm the VM of the process that recorded it
 * @param millis the time of day of the hybrid time in ms
 * @param counter orders events of the same millisecond
 * @param number the number of the kind of event
 * @param name the name of the kind of event
 * @param level the level at which it was logged
 * @param group the group, or empty
 * @param request the request, or empty
 * @param session the session, or empty
 * @param detail the figures and reasons, as text
 * @param cause the id of the event that caused it, or empty
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record EventMessage(
        String id,
        String vm,
        long millis,
        int counter,
        int number,
        String name,
        String level,
        String group,
        String request,
        String session,
        String detail,
        String cause) {
    /** Rejects a null identifier and replaces null texts by empty ones. */
    public EventMessage {
        requireNonNull(id, "id is null");
        vm = orEmpty(vm);
        name = orEmpty(name);
        level = orEmpty(level);
        group = orEmpty(group);
        request = orEmpty(request);
        session = orEmpty(session);
        detail = orEmpty(detail);
        cause = orEmpty(cause);
    }

    /**
     * Converts an event to a message.
     *
     * @param event the event
     * @return the message
     */
    public static EventMessage of(Event event) {
        return new EventMessage(
                event.id().toString(),
                event.vm().value(),
                event.time().millis(),
                event.time().counter(),
                event.code().number(),
                event.code().name(),
                event.code().level().name(),
                event.scope().group(),
                event.scope().request(),
                event.scope().session(),
                event.detail(),
                event.cause().map(EventId::toString).orElse(""));
    }

    /**
     * Returns when the event was recorded.
     *
     * @return the hybrid time
     */
    public HybridTime time() {
        return new HybridTime(millis, counter);
    }

    private static String orEmpty(String text) {
        return text == null ? "" : text;
    }
}
