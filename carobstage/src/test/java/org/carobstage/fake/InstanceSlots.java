package org.carobstage.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.carobstage.runtime.Clock;

/** The slots of an instance and its FIFO queue, which refuses work while it is full. */
final class InstanceSlots {
    private final Clock clock;
    private final int slots;
    private final int queueLength;
    private final Queue<Job> queue = new ArrayDeque<>();
    private int running;

    InstanceSlots(Clock clock, int slots, int queueLength) {
        this.clock = clock;
        this.slots = slots;
        this.queueLength = queueLength;
    }

    /** Runs a task after its work; returns false if the queue is full. */
    boolean submit(Duration work, Runnable onDone) {
        Job job = new Job(work, onDone);
        if (running < slots) {
            run(job);
            return true;
        }
        return queue.size() < queueLength && queue.add(job);
    }

    private void run(Job job) {
        running++;
        clock.schedule(
                () -> {
                    running--;
                    if (!queue.isEmpty()) {
                        run(queue.poll());
                    }
                    job.onDone().run();
                },
                job.work());
    }

    private record Job(Duration work, Runnable onDone) {}
}
