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

/** The last events of this process, bounded in number; each is logged as it happens. */
public final class EventLog {
    private static final Logger LOGGER = System.getLogger("org.carobstage.events");

    private static final long SEQUENCES_PER_MILLI = 1_000;

    private final VmId vm;
    private final Clock clock;
    private final int capacity;
    private final Deque<Event> localEvents = new ArrayDeque<>();
    private final Map<EventId, Event> foreign;
    private HybridTime time = new HybridTime(0, 0);
    private long sequence;

    private EventLog(VmId vm, Clock clock, int capacity) {
        this.vm = vm;
        this.clock = clock;
        this.capacity = capacity;
        this.foreign = new Bounded(capacity);
        this.sequence = clock.instant().toEpochMilli() * SEQUENCES_PER_MILLI;
    }

    /**
     * Creates a log without events.
     *
     * @param vm the VM of this process
     * @param clock the runtime's clock
     * @param capacity how many events are kept
     * @return the log
     */
    public static EventLog of(VmId vm, Clock clock, int capacity) {
        requireNonNull(vm, "vm is null");
        return new EventLog(vm, clock, capacity);
    }

    /**
     * Records an event that follows from no other.
     *
     * @param code what happened
     * @param scope what it is about
     * @param detail the figures and reasons, in words
     * @return the event's id, as the cause of others
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
     * @param code what happened
     * @param scope what it is about
     * @param detail the figures and reasons, in words
     * @param cause the event that it follows from, here or at a peer
     * @return the event's id, as the cause of others
     */
    public EventId record(
            EventCode code, EventScope scope, String detail, Optional<EventId> cause) {
        Event event = append(code, scope, detail, cause);
        LOGGER.log(code.level(), "{0}", event);
        return event.id();
    }

    /**
     * Takes over the time that a peer sent, so that later events here come after it.
     *
     * @param received the peer's time
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
     * Returns the kept events.
     *
     * @return the events in their order
     */
    public synchronized List<Event> localEvents() {
        return List.copyOf(localEvents);
    }

    /**
     * Returns the kept events of this process after one of them, for a peer to keep.
     *
     * @param after the sequence number of the last event that the peer has, 0 for none
     * @return the events in their order
     */
    public synchronized List<Event> localEventsAfter(long after) {
        return localEvents.stream().filter(e -> e.id().sequence() > after).toList();
    }

    /**
     * Keeps events of peers, in case a peer dies; the oldest give way to new ones.
     *
     * @param received the events
     */
    public synchronized void addPeerEvents(List<Event> received) {
        received.stream().filter(e -> !e.vm().equals(vm)).forEach(e -> foreign.put(e.id(), e));
    }

    /**
     * Returns the kept events of this process and of its peers.
     *
     * @return the events, those of this process first
     */
    public synchronized List<Event> allEvents() {
        return Stream.concat(localEvents.stream(), foreign.values().stream()).toList();
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

    /** Forgets the oldest entry once it holds more than its capacity. */
    private static final class Bounded extends LinkedHashMap<EventId, Event> {
        private static final long serialVersionUID = 1L;

        private final int capacity;

        private Bounded(int capacity) {
            this.capacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<EventId, Event> eldest) {
            return size() > capacity;
        }
    }
}
