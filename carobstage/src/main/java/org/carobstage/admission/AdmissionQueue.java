package org.carobstage.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.carobstage.model.ServiceName;

/**
 * The requests that wait for a slot of one instance. Each service has a line ordered by deadline;
 * the lines take turns by virtual time. A request is admitted only if it and all that its line has
 * admitted are expected to run in time. Not safe for use by several threads.
 *
 * @param <T> the type of what waits
 */
public final class AdmissionQueue<T> {
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(20);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

    private final int capacity;
    private final Map<ServiceName, Line<T>> lines = new LinkedHashMap<>();
    private long virtualTime;
    private int size;

    private AdmissionQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Creates an empty queue.
     *
     * @param <T> the type of what waits
     * @param capacity how many requests may wait
     * @return the queue
     * @throws IllegalArgumentException if {@code capacity} is not positive
     */
    public static <T> AdmissionQueue<T> of(int capacity) {
        if (capacity <= 0) {
            throw new IllegalArgumentException("capacity is not positive");
        }
        return new AdmissionQueue<>(capacity);
    }

    /**
     * Adds a request, or rejects it or others that can't run in time any more.
     *
     * @param ticket the request
     * @param load how fast the queue is worked off
     * @param now the time, in ns of the runtime's clock
     * @return all that are rejected now; the request waits if it is not among them
     */
    public List<Rejection<T>> offer(SlotRequest<T> ticket, InstanceLoad load, long now) {
        requireNonNull(ticket, "ticket is null");
        Line<T> line = lines.computeIfAbsent(ticket.service(), s -> new Line<>());
        int index = line.indexFor(ticket);
        long ownOverrun = overrun(ticket, ahead(line, index), load, now);
        if (ownOverrun > 0) {
            return List.of(rejection(ticket, ownOverrun));
        }
        List<Rejection<T>> rejected = new ArrayList<>(rejectUnservable(load, now));
        if (size == capacity && !makeRoom(line, load, now, rejected)) {
            rejected.add(rejection(ticket, overrun(ticket, size, load, now)));
            return rejected;
        }
        index = insert(line, ticket);
        long overrun = longestOverrun(line, index, load, now);
        if (overrun > 0) {
            take(line, index);
            rejected.add(rejection(ticket, overrun));
        } else {
            rejected.addAll(rejectUnservable(load, now));
        }
        return rejected;
    }

    /**
     * Takes the request whose turn it is.
     *
     * @return the request, or empty if none waits
     */
    public Optional<SlotRequest<T>> poll() {
        Optional<Line<T>> next =
                lines.values().stream()
                        .filter(line -> !line.tickets.isEmpty())
                        .min(Comparator.comparingLong(line -> line.turn));
        next.ifPresent(
                line -> {
                    virtualTime = line.turn;
                    line.turn++;
                });
        return next.map(line -> take(line, 0));
    }

    /**
     * Rejects the requests that can't run in time any more.
     *
     * @param load how fast the queue is worked off
     * @param now the time, in ns of the runtime's clock
     * @return the rejected requests
     */
    public List<Rejection<T>> rejectUnservable(InstanceLoad load, long now) {
        List<Rejection<T>> rejected = new ArrayList<>();
        for (Line<T> line : lines.values()) {
            int i = 0;
            while (i < line.tickets.size()) {
                long overrun = overrun(line, i, load, now);
                if (overrun > 0) {
                    rejected.add(rejection(take(line, i), overrun));
                } else {
                    i++;
                }
            }
        }
        return rejected;
    }

    /**
     * Removes a request whose caller has gone.
     *
     * @param ticket the request
     * @return true if it waited
     */
    public boolean remove(SlotRequest<T> ticket) {
        Line<T> line = lines.get(ticket.service());
        int index = line == null ? -1 : line.tickets.indexOf(ticket);
        if (index >= 0) {
            take(line, index);
        }
        return index >= 0;
    }

    /**
     * Returns the earliest deadline.
     *
     * @return the deadline, in ns of the runtime's clock, or empty if none waits
     */
    public OptionalLong earliestDeadlineNanos() {
        return lines.values().stream()
                .filter(line -> !line.tickets.isEmpty())
                .mapToLong(line -> line.tickets.get(0).deadlineNanos())
                .min();
    }

    /**
     * Returns how many requests wait.
     *
     * @return the number of requests
     */
    public int size() {
        return size;
    }

    private boolean makeRoom(
            Line<T> line, InstanceLoad load, long now, List<Rejection<T>> rejected) {
        Line<T> longest =
                lines.values().stream()
                        .max(Comparator.comparingInt(l -> l.tickets.size()))
                        .orElse(line);
        int last = longest.tickets.size() - 1;
        if (last <= line.tickets.size()) {
            return false;
        }
        long overrun = Math.max(0, overrun(longest, last, load, now));
        rejected.add(rejection(take(longest, last), overrun));
        return true;
    }

    private int insert(Line<T> line, SlotRequest<T> ticket) {
        if (line.tickets.isEmpty()) {
            line.turn = Math.max(line.turn, virtualTime);
        }
        int index = line.indexFor(ticket);
        line.tickets.add(index, ticket);
        size++;
        return index;
    }

    private SlotRequest<T> take(Line<T> line, int index) {
        size--;
        return line.tickets.remove(index);
    }

    private long longestOverrun(Line<T> line, int from, InstanceLoad load, long now) {
        long longest = 0;
        for (int i = from; i < line.tickets.size(); i++) {
            longest = Math.max(longest, overrun(line, i, load, now));
        }
        return longest;
    }

    /** Returns by how much a request would end after its deadline, in ns. */
    private long overrun(Line<T> line, int index, InstanceLoad load, long now) {
        return overrun(line.tickets.get(index), ahead(line, index), load, now);
    }

    private long overrun(SlotRequest<T> ticket, int ahead, InstanceLoad load, long now) {
        long left = ticket.deadlineNanos() - now;
        long least = left <= 0 ? 1 : 0;
        return Math.max(load.estimateCompletionNanos(ahead) - left, least);
    }

    /** Counts the requests that get a slot first: those of its line and as many of each other. */
    private int ahead(Line<T> line, int index) {
        int ahead = index;
        for (Line<T> other : lines.values()) {
            if (other != line) {
                ahead += Math.min(other.tickets.size(), index + 1);
            }
        }
        return ahead;
    }

    private Rejection<T> rejection(SlotRequest<T> ticket, long overrunNanos) {
        long least = Math.max(overrunNanos, MIN_RETRY_AFTER.toNanos());
        long retryAfter = Math.min(least, MAX_RETRY_AFTER.toNanos());
        return new Rejection<>(ticket, Duration.ofNanos(retryAfter));
    }

    /** The waiting requests of one service, the earliest deadline first. */
    private static final class Line<T> {
        private final List<SlotRequest<T>> tickets = new ArrayList<>();
        private long turn;

        private int indexFor(SlotRequest<T> ticket) {
            int index = tickets.size();
            while (index > 0 && ticket.hasEarlierDeadline(tickets.get(index - 1))) {
                index--;
            }
            return index;
        }
    }
}
