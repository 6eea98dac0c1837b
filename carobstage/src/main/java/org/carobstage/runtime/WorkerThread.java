package org.carobstage.runtime;

import static java.util.Objects.requireNonNull;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * One thread with one job, fed through a bounded ring.
 *
 * @param <E> the type of the events that the ring carries
 */
public final class WorkerThread<E> implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger(WorkerThread.class.getName());
    private static final int SPINS_BEFORE_PARK = 200;

    private final MpscArrayQueue<E> ring;
    private final Consumer<E> handler;
    private final Thread thread;
    private volatile boolean closed;
    private volatile boolean parked;

    private WorkerThread(String name, int capacity, Consumer<E> handler) {
        this.ring = new MpscArrayQueue<>(capacity);
        this.handler = handler;
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    /**
     * Creates a duty and starts its thread.
     *
     * @param <E> the type of the events
     * @param name the name of the thread
     * @param capacity how many events the ring holds
     * @param handler called on the duty's thread with each event
     * @return the running duty
     */
    public static <E> WorkerThread<E> of(String name, int capacity, Consumer<E> handler) {
        requireNonNull(name, "name is null");
        requireNonNull(handler, "handler is null");
        WorkerThread<E> duty = new WorkerThread<>(name, capacity, handler);
        duty.thread.start();
        return duty;
    }

    /**
     * Puts an event into the ring.
     *
     * @param event the event
     * @return false if the ring is full or the duty is closed
     */
    public boolean offer(E event) {
        if (closed || !ring.offer(event)) {
            return false;
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /**
     * Returns how many events wait in the ring.
     *
     * @return the current length of the ring
     */
    public int queueSize() {
        return ring.size();
    }

    /**
     * Tells whether the duty was closed.
     *
     * @return true once it takes no more events
     */
    public boolean isClosed() {
        return closed;
    }

    /** Stops the thread once the ring is empty. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }

    private void run() {
        int idle = 0;
        while (true) {
            E event = ring.poll();
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
        if (ring.isEmpty() && !closed) {
            LockSupport.park(this);
        }
        parked = false;
    }

    private void handle(E event) {
        try {
            handler.accept(event);
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "duty " + thread.getName() + " failed on an event", e);
        }
    }
}
