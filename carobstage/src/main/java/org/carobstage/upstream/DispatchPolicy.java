package org.carobstage.upstream;

import java.time.Duration;

/**
 * Decides whether a request is sent to an instance now, or waits in the queue of this process,
 * where the order by priority is kept. Instances process requests in the order of arrival.
 */
final class DispatchPolicy {
    /**
     * The queueing delay at which priority 1 is held back, as a fraction of its target latency; at
     * 502 ms it is 50 ms. With 0.2, priority 0 was late four times as often while reads moved to
     * the primary.
     */
    private static final double DELAY_FRACTION = 0.1;

    /**
     * An older estimate admits only one statement of low priority, whose result renews it. Without
     * this, all processes send as many as they can at the start of a burst.
     */
    private static final Duration MAX_AGE = Duration.ofMillis(200);

    private DispatchPolicy() {}

    /**
     * Decides whether a request may be sent. Priority 0 may, unless the instance has just refused
     * statements and this process has one in flight. A lower one may while the queueing delay is
     * small, or if nothing is in flight and the estimated queue has drained since the last result.
     *
     * @param priority the priority of the request
     * @param targetLatency its target latency
     * @param load the load of the instance
     * @return false if the request has to wait
     */
    static boolean maySend(int priority, Duration targetLatency, Load load) {
        boolean idle = load.inFlight() == 0;
        if (priority <= 0) {
            return idle || !load.refusing();
        }
        // Many processes that each send the next one at once keep a queue that is longer than the
        // target of priority 0, so the pause between two is longer for lower priorities.
        Duration pause = load.queueingDelay().multipliedBy(2L * priority - 1);
        if (idle && load.quietTime().compareTo(pause) >= 0) {
            return true;
        }
        // Of two priorities, the lower one is held back first, although its target is longer.
        double fraction = DELAY_FRACTION / ((double) priority * priority);
        boolean current = idle || load.quietTime().compareTo(MAX_AGE) < 0;
        return current
                && !load.refusing()
                && load.queueingDelay().toNanos() < fraction * targetLatency.toNanos();
    }

    /**
     * The load of an instance, as far as a process can tell.
     *
     * @param queueingDelay the estimated queueing delay
     * @param refusing whether it has recently refused a statement because its queue is full
     * @param inFlight how many statements of this process it is serving
     * @param quietTime the time since its last result
     */
    record Load(Duration queueingDelay, boolean refusing, int inFlight, Duration quietTime) {}
}
