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
 * Events of several processes, each once, in an order in which none comes before its cause.
 *
 * @param events the events in their order
 */
public record Timeline(List<EventMessage> events) {
    private static final Comparator<EventMessage> BY_TIME =
            Comparator.comparing(EventMessage::time)
                    .thenComparing(EventMessage::vm)
                    .thenComparing(EventMessage::id);

    /** Checks the time line. */
    public Timeline {
        events = List.copyOf(events);
    }

    /**
     * Merges what several processes know.
     *
     * @param known the events that each process sent; the same event may be in several
     * @return the time line
     */
    public static Timeline merge(Collection<List<EventMessage>> known) {
        requireNonNull(known, "known is null");
        Map<String, EventMessage> byId =
                known.stream()
                        .flatMap(List::stream)
                        .sorted(BY_TIME)
                        .collect(
                                Collectors.toMap(
                                        EventMessage::id,
                                        Function.identity(),
                                        (one, same) -> one,
                                        LinkedHashMap::new));
        return new Timeline(new ByCause(byId).order());
    }

    /**
     * Writes events for another process.
     *
     * @param events the events
     * @return their messages
     */
    public static List<EventMessage> toMessages(List<Event> events) {
        return events.stream().map(EventMessage::of).toList();
    }

    /**
     * Keeps the events that a filter admits together with all the events that they follow from.
     *
     * @param filter the filter
     * @return the shorter time line
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

    /** Moves an event behind its cause where the clocks say otherwise. */
    private static final class ByCause {
        private final Map<String, EventMessage> waiting;
        private final List<EventMessage> placed = new ArrayList<>();

        private ByCause(Map<String, EventMessage> byTime) {
            this.waiting = byTime;
        }

        private List<EventMessage> order() {
            List.copyOf(waiting.values()).forEach(this::place);
            return placed;
        }

        private void place(EventMessage event) {
            if (waiting.remove(event.id()) == null) {
                return;
            }
            Optional.ofNullable(waiting.get(event.cause())).ifPresent(this::place);
            placed.add(event);
        }
    }
}
