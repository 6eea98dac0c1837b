package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import java.lang.System.Logger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;

/**
 * Keeps a bounded number of recent events of this process and its peers, and logs each event of
 * this process when it is recorded.
 */
public final class EventLog {
    private static final Logger LOGGER = System.getLogger("org.carobstage.events");

    private static final long SEQUENCES_PER_MILLI = 1_000;

    /** Holds the members of a fleet of 300 VMs; a detail may quote an entry of 1 MB. */
    private static final int MAX_DETAIL_LENGTH = 8_192;

    private final VmId vm;
    private final Clock clock;
    private final int capacity;
    private final Deque<Event> localEvents = new ArrayDeque<>();
    private final Map<EventId, Event> peerEvents;
    private HybridTime time = new HybridTime(0, 0);
    private long sequence;

    private EventLog(VmId vm, Clock clock, int capacity) {
        this.vm = vm;
        this.clock = clock;
        this.capacity = capacity;
        this.peerEvents = new BoundedEventMap(capacity);
        this.sequence = clock.instant().toEpochMilli() * SEQUENCES_PER_MILLI;
    }

    /**
     * Creates a log without events.
     *
     * @param vm the VM of this process
     * @param clock the runtime's clock
     * @param capacity the maximum number of kept events of this process, and of its peers
     * @return the log
     */
    public static EventLog of(VmId vm, Clock clock, int capacity) {
        requireNonNull(vm, "vm is null");
        return new EventLog(vm, clock, capacity);
    }

    /**
     * Records an event without a cause.
     *
     * @param code the kind of event
     * @param scope the group, request and session that it concerns
     * @param detail the figures and reasons, as text
     * @return the event's id, which other events can name as their cause
     */
    public EventId record(EventCode code, EventScope scope, String detail) {
        return record(code, scope, detail, Optional.empty());
    }

    /**
     * Returns the VM of this process.
     *
     * @return the VM
     */
    public VmId vm() {
        return vm;
    }

    /**
     * Records an event.
     *
     * @param code the kind of event
     * @param scope the group, request and session that it concerns
     * @param detail the figures and reasons, as text
     * @param cause the event that caused it, in this process or a peer
     * @return the event's id, which other events can name as their cause
     */
    public EventId record(
            EventCode code, EventScope scope, String detail, Optional<EventId> cause) {
        Event event = append(code, scope, bound(detail), cause);
        LOGGER.log(code.level(), "{0}", event);
        return event.id();
    }

    /**
     * Advances the hybrid logical clock past a time that a peer sent, so that later events of this
     * process are ordered after it.
     *
     * @param received the time that the peer sent
     */
    public synchronized void mergeTime(HybridTime received) {
        time = time.merge(received, clock.instant().toEpochMilli());
    }

    /**
     * Returns the current time of the hybrid logical clock, for a message to a peer.
     *
     * @return the time
     */
    public synchronized HybridTime now() {
        time = time.next(clock.instant().toEpochMilli());
        return time;
    }

    /**
     * Returns the kept events of this process.
     *
     * @return the events, oldest first
     */
    public synchronized List<Event> localEvents() {
        return List.copyOf(localEvents);
    }

    /**
     * Returns the kept events of this process after a sequence number, to send to a peer.
     *
     * @param after the sequence number of the last event that the peer has, 0 for none
     * @return the events, oldest first
     */
    public synchronized List<Event> localEventsAfter(long after) {
        return localEvents.stream().filter(e -> e.id().sequence() > after).toList();
    }

    /**
     * Stores events of peers, in case a peer fails; the oldest are evicted.
     *
     * @param received the events
     */
    public synchronized void addPeerEvents(List<Event> received) {
        received.stream().filter(e -> !e.vm().equals(vm)).forEach(e -> peerEvents.put(e.id(), e));
    }

    /**
     * Returns the kept events of this process and of its peers.
     *
     * @return the events, those of this process first
     */
    public synchronized List<Event> allEvents() {
        return Stream.concat(localEvents.stream(), peerEvents.values().stream()).toList();
    }

    private static String bound(String detail) {
        if (detail.length() <= MAX_DETAIL_LENGTH) {
            return detail;
        }
        boolean isWithinPair = Character.isHighSurrogate(detail.charAt(MAX_DETAIL_LENGTH - 1));
        int end = isWithinPair ? MAX_DETAIL_LENGTH - 1 : MAX_DETAIL_LENGTH;
        return detail.substring(0, end) + " ... " + (detail.length() - end) + " more characters";
    }

    private synchronized Event append(
            EventCode code, EventScope scope, String detail, Optional<EventId> cause) {
        EventId id = new EventId(vm, ++sequence);
        Event event = new Event(id, now(), code, scope, detail, cause);
        if (localEvents.size() == capacity) {
            localEvents.removeFirst();
        }
        localEvents.addLast(event);
        return event;
    }

    /** A map that evicts its oldest entry when it exceeds its capacity. */
    private static final class BoundedEventMap extends LinkedHashMap<EventId, Event> {
        private static final long serialVersionUID = 1L;

        private final int capacity;

        private BoundedEventMap(int capacity) {
            this.capacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<EventId, Event> eldest) {
            return size() > capacity;
        }
    }
}
