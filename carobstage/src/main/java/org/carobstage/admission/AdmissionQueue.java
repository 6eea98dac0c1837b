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
 * The requests that wait for a slot of one instance. Each service has a queue ordered by deadline;
 * the queues are served by fair queuing with a virtual time. A request is admitted only if it and
 * all requests admitted to its queue are expected to meet their deadlines. Not thread-safe.
 *
 * @param <T> the payload type of a request
 */
public final class AdmissionQueue<T> {
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(20);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

    private final int capacity;
    private final Map<ServiceName, ServiceQueue<T>> serviceQueues = new LinkedHashMap<>();
    private long virtualTime;
    private int size;

    private AdmissionQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Creates an empty queue.
     *
     * @param <T> the payload type of a request
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
     * Adds a request, or rejects it; also rejects others that can no longer meet their deadline.
     *
     * @param request the request
     * @param load the load of the instance
     * @param nowNanos the current monotonic time in ns
     * @return all requests rejected now; the new one waits if it is not among them
     */
    public List<Rejection<T>> offer(SlotRequest<T> request, InstanceLoad load, long nowNanos) {
        requireNonNull(request, "request is null");
        ServiceQueue<T> serviceQueue =
                serviceQueues.computeIfAbsent(request.service(), s -> new ServiceQueue<>());
        int index = serviceQueue.indexFor(request);
        long ownOverrun = overrun(request, ahead(serviceQueue, index), load, nowNanos);
        if (ownOverrun > 0) {
            return List.of(newRejection(request, ownOverrun));
        }
        List<Rejection<T>> rejected = new ArrayList<>(rejectUnservable(load, nowNanos));
        if (size == capacity && !evictFromLongest(serviceQueue, load, nowNanos, rejected)) {
            rejected.add(newRejection(request, overrun(request, size, load, nowNanos)));
            return rejected;
        }
        index = insert(serviceQueue, request);
        long overrun = maxOverrun(serviceQueue, index, load, nowNanos);
        if (overrun > 0) {
            removeAt(serviceQueue, index);
            rejected.add(newRejection(request, overrun));
        } else {
            rejected.addAll(rejectUnservable(load, nowNanos));
        }
        return rejected;
    }

    /**
     * Removes and returns the next request.
     *
     * @return the request, or empty if none waits
     */
    public Optional<SlotRequest<T>> poll() {
        Optional<ServiceQueue<T>> next =
                serviceQueues.values().stream()
                        .filter(serviceQueue -> !serviceQueue.requests.isEmpty())
                        .min(Comparator.comparingLong(serviceQueue -> serviceQueue.virtualStart));
        next.ifPresent(
                serviceQueue -> {
                    virtualTime = serviceQueue.virtualStart;
                    serviceQueue.virtualStart++;
                });
        return next.map(serviceQueue -> removeAt(serviceQueue, 0));
    }

    /**
     * Rejects the requests that can no longer meet their deadline.
     *
     * @param load the load of the instance
     * @param nowNanos the current monotonic time in ns
     * @return the rejected requests
     */
    public List<Rejection<T>> rejectUnservable(InstanceLoad load, long nowNanos) {
        List<Rejection<T>> rejected = new ArrayList<>();
        for (ServiceQueue<T> serviceQueue : serviceQueues.values()) {
            int i = 0;
            while (i < serviceQueue.requests.size()) {
                long overrun = overrun(serviceQueue, i, load, nowNanos);
                if (overrun > 0) {
                    rejected.add(newRejection(removeAt(serviceQueue, i), overrun));
                } else {
                    i++;
                }
            }
        }
        return rejected;
    }

    /**
     * Removes a request whose caller no longer waits.
     *
     * @param request the request
     * @return true if it was queued
     */
    public boolean remove(SlotRequest<T> request) {
        ServiceQueue<T> serviceQueue = serviceQueues.get(request.service());
        int index = serviceQueue == null ? -1 : serviceQueue.requests.indexOf(request);
        if (index >= 0) {
            removeAt(serviceQueue, index);
        }
        return index >= 0;
    }

    /**
     * Returns the earliest deadline.
     *
     * @return the deadline, in ns of the monotonic clock, or empty if none waits
     */
    public OptionalLong earliestDeadlineNanos() {
        return serviceQueues.values().stream()
                .filter(serviceQueue -> !serviceQueue.requests.isEmpty())
                .mapToLong(serviceQueue -> serviceQueue.requests.get(0).deadlineNanos())
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

    private boolean evictFromLongest(
            ServiceQueue<T> serviceQueue,
            InstanceLoad load,
            long nowNanos,
            List<Rejection<T>> rejected) {
        ServiceQueue<T> longestQueue =
                serviceQueues.values().stream()
                        .max(Comparator.comparingInt(q -> q.requests.size()))
                        .orElse(serviceQueue);
        int lastIndex = longestQueue.requests.size() - 1;
        if (lastIndex <= serviceQueue.requests.size()) {
            return false;
        }
        long overrun = Math.max(0, overrun(longestQueue, lastIndex, load, nowNanos));
        rejected.add(newRejection(removeAt(longestQueue, lastIndex), overrun));
        return true;
    }

    private int insert(ServiceQueue<T> serviceQueue, SlotRequest<T> request) {
        if (serviceQueue.requests.isEmpty()) {
            serviceQueue.virtualStart = Math.max(serviceQueue.virtualStart, virtualTime);
        }
        int index = serviceQueue.indexFor(request);
        serviceQueue.requests.add(index, request);
        size++;
        return index;
    }

    private SlotRequest<T> removeAt(ServiceQueue<T> serviceQueue, int index) {
        size--;
        return serviceQueue.requests.remove(index);
    }

    private long maxOverrun(
            ServiceQueue<T> serviceQueue, int from, InstanceLoad load, long nowNanos) {
        long max = 0;
        for (int i = from; i < serviceQueue.requests.size(); i++) {
            max = Math.max(max, overrun(serviceQueue, i, load, nowNanos));
        }
        return max;
    }

    /** Returns by how much a request would exceed its deadline, in ns. */
    private long overrun(
            ServiceQueue<T> serviceQueue, int index, InstanceLoad load, long nowNanos) {
        return overrun(
                serviceQueue.requests.get(index), ahead(serviceQueue, index), load, nowNanos);
    }

    private long overrun(SlotRequest<T> request, int ahead, InstanceLoad load, long nowNanos) {
        long remaining = request.deadlineNanos() - nowNanos;
        long minOverrun = remaining <= 0 ? 1 : 0;
        return Math.max(load.estimateCompletionNanos(ahead) - remaining, minOverrun);
    }

    /**
     * Counts the requests that get a slot before it: those ahead in its queue and as many of each
     * other queue.
     */
    private int ahead(ServiceQueue<T> serviceQueue, int index) {
        int ahead = index;
        for (ServiceQueue<T> other : serviceQueues.values()) {
            if (other != serviceQueue) {
                ahead += Math.min(other.requests.size(), index + 1);
            }
        }
        return ahead;
    }

    private Rejection<T> newRejection(SlotRequest<T> request, long overrunNanos) {
        long delay = Math.max(overrunNanos, MIN_RETRY_AFTER.toNanos());
        long retryAfter = Math.min(delay, MAX_RETRY_AFTER.toNanos());
        return new Rejection<>(request, Duration.ofNanos(retryAfter));
    }

    /** The waiting requests of one service, ordered by deadline. */
    private static final class ServiceQueue<T> {
        private final List<SlotRequest<T>> requests = new ArrayList<>();
        private long virtualStart;

        private int indexFor(SlotRequest<T> request) {
            int index = requests.size();
            while (index > 0 && request.hasEarlierDeadline(requests.get(index - 1))) {
                index--;
            }
            return index;
        }
    }
}
