package org.carobstage.timeline;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.carobstage.event.Event;

/**
 * The events of several processes, each once, ordered so that no event precedes its cause.
 *
 * @param events the events in this order
 */
public record Timeline(List<EventMessage> events) {
    private static final Comparator<EventMessage> BY_TIME =
            Comparator.comparing(EventMessage::time)
                    .thenComparing(EventMessage::vm)
                    .thenComparing(EventMessage::id);

    /** Copies the list. */
    public Timeline {
        events = List.copyOf(events);
    }

    /**
     * Merges the events that several processes keep.
     *
     * @param eventLists the events from each process; several lists may hold the same event
     * @return the timeline
     */
    public static Timeline merge(Collection<List<EventMessage>> eventLists) {
        requireNonNull(eventLists, "eventLists is null");
        Map<String, EventMessage> byId =
                eventLists.stream()
                        .flatMap(List::stream)
                        .sorted(BY_TIME)
                        .collect(
                                Collectors.toMap(
                                        EventMessage::id,
                                        Function.identity(),
                                        (first, duplicate) -> first,
                                        LinkedHashMap::new));
        return new Timeline(new CausalOrder(byId).sort());
    }

    /**
     * Converts events to messages.
     *
     * @param events the events
     * @return the messages
     */
    public static List<EventMessage> toMessages(List<Event> events) {
        return events.stream().map(EventMessage::of).toList();
    }

    /**
     * Returns the events that match a filter, together with their direct and indirect causes.
     *
     * @param filter the filter
     * @return the filtered timeline
     */
    public Timeline filter(EventFilter filter) {
        Map<String, EventMessage> byId = new TreeMap<>();
        events.forEach(e -> byId.put(e.id(), e));
        Map<String, EventMessage> kept = new TreeMap<>();
        events.stream().filter(filter::matches).forEach(e -> keepWithCauses(e, byId, kept));
        return new Timeline(events.stream().filter(e -> kept.containsKey(e.id())).toList());
    }

    private static void keepWithCauses(
            EventMessage event, Map<String, EventMessage> byId, Map<String, EventMessage> kept) {
        EventMessage next = event;
        while (next != null && kept.putIfAbsent(next.id(), next) == null) {
            next = byId.get(next.cause());
        }
    }

    /** Moves an event after its cause where their times have the opposite order. */
    private static final class CausalOrder {
        private final Map<String, EventMessage> remaining;
        private final List<EventMessage> sorted = new ArrayList<>();

        private CausalOrder(Map<String, EventMessage> eventsByTime) {
            this.remaining = eventsByTime;
        }

        private List<EventMessage> sort() {
            List.copyOf(remaining.values()).forEach(this::addAfterCause);
            return sorted;
        }

        private void addAfterCause(EventMessage event) {
            if (remaining.remove(event.id()) == null) {
                return;
            }
            Optional.ofNullable(remaining.get(event.cause())).ifPresent(this::addAfterCause);
            sorted.add(event);
        }
    }
}
