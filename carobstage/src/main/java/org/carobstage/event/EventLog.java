package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import java.lang.System.Logger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;

/** The last events of this process, bounded in number; each is logged as it happens. */
public final class EventLog {
    private static final Logger LOGGER = System.getLogger("org.carobstage.events");

    private final VmId vm;
    private final Clock clock;
    private final int capacity;
    private final Deque<Event> events = new ArrayDeque<>();
    private HybridTime time = new HybridTime(0, 0);

    private EventLog(VmId vm, Clock clock, int capacity) {
        this.vm = vm;
        this.clock = clock;
        this.capacity = capacity;
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
     */
    public void record(EventCode code, EventScope scope, String detail) {
        Event event = append(code, scope, detail);
        LOGGER.log(code.level(), "{0} {1} {2}", code.number(), code, event.detail());
    }

    /**
     * Takes over the time that a peer sent, so that later events here come after it.
     *
     * @param received the peer's time
     */
    public synchronized void merge(HybridTime received) {
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
    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    private synchronized Event append(EventCode code, EventScope scope, String detail) {
        Event event = new Event(now(), vm, code, scope, detail);
        if (events.size() == capacity) {
            events.removeFirst();
        }
        events.addLast(event);
        return event;
    }
}
