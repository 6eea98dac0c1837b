package org.carobstage.runtime;

import static java.util.Objects.requireNonNull;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * A thread that passes events from a bounded queue to one handler.
 *
 * @param <E> the type of the events
 */
public final class WorkerThread<E> implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger(WorkerThread.class.getName());
    private static final int SPINS_BEFORE_PARK = 200;

    private final MpscArrayQueue<E> queue;
    private final Consumer<E> handler;
    private final Thread thread;
    private volatile boolean closed;
    private volatile boolean parked;

    private WorkerThread(String name, int capacity, Consumer<E> handler) {
        this.queue = new MpscArrayQueue<>(capacity);
        this.handler = handler;
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    /**
     * Creates a worker thread and starts it.
     *
     * @param <E> the type of the events
     * @param name the name of the thread
     * @param capacity the capacity of the queue
     * @param handler called on the worker thread with each event
     * @return the running worker thread
     */
    public static <E> WorkerThread<E> of(String name, int capacity, Consumer<E> handler) {
        requireNonNull(name, "name is null");
        requireNonNull(handler, "handler is null");
        WorkerThread<E> worker = new WorkerThread<>(name, capacity, handler);
        worker.thread.start();
        return worker;
    }

    /**
     * Adds an event to the queue.
     *
     * @param event the event
     * @return false if the queue is full or the worker thread is closed
     */
    public boolean offer(E event) {
        if (closed || !queue.offer(event)) {
            return false;
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /**
     * Returns the number of events in the queue.
     *
     * @return the current length of the queue
     */
    public int queueSize() {
        return queue.size();
    }

    /**
     * Returns whether this worker thread was closed.
     *
     * @return true once it accepts no more events
     */
    public boolean isClosed() {
        return closed;
    }

    /** Rejects further events and stops the thread once the queue is empty. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }

    private void run() {
        int idle = 0;
        while (true) {
            E event = queue.poll();
            if (event != null) {
                idle = 0;
                handle(event);
            } else if (closed) {
                return;
            } else if (++idle < SPINS_BEFORE_PARK) {
                Thread.onSpinWait();
            } else {
                park();
            }
        }
    }

    private void park() {
        parked = true;
        if (queue.isEmpty() && !closed) {
            LockSupport.park(this);
        }
        parked = false;
    }

    private void handle(E event) {
        try {
            handler.accept(event);
        } catch (RuntimeException e) {
            LOGGER.log(
                    Level.ERROR,
                    "worker thread " + thread.getName() + " failed to handle an event",
                    e);
        }
    }
}
