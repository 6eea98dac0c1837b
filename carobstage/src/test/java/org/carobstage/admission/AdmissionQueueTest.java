package org.carobstage.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import org.carobstage.model.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private static final ServiceName FORMS = ServiceName.of("forms");
    private static final ServiceName DRAFTS = ServiceName.of("drafts");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long SERVICE_NANOS = 10 * NANOS_PER_MILLI;
    private static final InstanceLoad ONE_SLOT =
            new InstanceLoad(1, 1, SERVICE_NANOS, SERVICE_NANOS);

    private final AdmissionQueue<String> queue = AdmissionQueue.of(100);

    @Nested
    class Offer {
        @Test
        void shouldRejectAtOnceWhenWaitExceedsPatience() {
            IntStream.range(0, 4).forEach(i -> offer(FORMS, 1_000, "w" + i));

            List<Rejection<String>> rejected = offer(FORMS, 1_001, "fits");
            assertThat(rejected).isEmpty();
            rejected =
                    queue.offer(
                            new SlotRequest<>(FORMS, 5 * NANOS_PER_MILLI, "short"), ONE_SLOT, 0);
            assertThat(rejected)
                    .extracting(r -> r.slotRequest().payload())
                    .containsExactly("short");
        }

        @Test
        void shouldKeepAdmittedRequestWhenNewOneWouldDelayItBeyondDeadline() {
            offer(FORMS, 20, "older");

            List<Rejection<String>> rejected = offer(FORMS, 19, "newer");

            assertThat(rejected)
                    .extracting(r -> r.slotRequest().payload())
                    .containsExactly("newer");
            assertThat(queue.poll()).map(SlotRequest::payload).contains("older");
        }

        @Test
        void shouldRejectOlderRequestWhenAnotherServiceDelaysItBeyondDeadline() {
            IntStream.range(0, 4).forEach(i -> offer(FORMS, 50, "f" + i));

            List<Rejection<String>> rejected = offer(DRAFTS, 50, "draft");

            assertThat(rejected).extracting(r -> r.slotRequest().payload()).containsExactly("f3");
        }

        @Test
        void shouldReturnRetryAfterWhenRequestIsRejected() {
            IntStream.range(0, 10).forEach(i -> offer(FORMS, 110, "f" + i));

            List<Rejection<String>> rejected = offer(FORMS, 60, "late");

            assertThat(rejected)
                    .extracting(Rejection::retryAfter)
                    .containsExactly(Duration.ofMillis(20));
            rejected = offer(FORMS, 110, "full");
            assertThat(rejected).hasSize(1);
        }

        @Test
        void shouldEvictFromLongestServiceQueueWhenFull() {
            AdmissionQueue<String> small = AdmissionQueue.of(3);
            InstanceLoad load = new InstanceLoad(1, 1, 0, 0);
            IntStream.range(0, 3)
                    .forEach(
                            i ->
                                    small.offer(
                                            new SlotRequest<>(FORMS, SERVICE_NANOS, "f" + i),
                                            load,
                                            0));

            List<Rejection<String>> rejected =
                    small.offer(new SlotRequest<>(DRAFTS, SERVICE_NANOS, "draft"), load, 0);

            assertThat(rejected).extracting(r -> r.slotRequest().payload()).containsExactly("f2");
            assertThat(small.offer(new SlotRequest<>(FORMS, SERVICE_NANOS, "f3"), load, 0))
                    .hasSize(1);
        }
    }

    @Nested
    class Poll {
        @Test
        void shouldOrderByDeadlineWithinServiceAndAlternateBetweenServices() {
            offer(FORMS, 900, "f2");
            offer(FORMS, 800, "f1");
            offer(FORMS, 950, "f3");
            offer(DRAFTS, 990, "d1");

            List<String> order =
                    IntStream.range(0, 4).mapToObj(i -> queue.poll().get().payload()).toList();

            assertThat(order).containsExactly("f1", "d1", "f2", "f3");
        }

        @Test
        void shouldServeLongPatienceAndRejectShortAtOnceUnderTenfoldOverload() {
            OverloadSimulation simulation = new OverloadSimulation();

            simulation.run(Duration.ofSeconds(20));

            int capacity = (int) (simulation.millis / 10);
            assertThat(simulation.onTime).isGreaterThan(capacity * 9 / 10);
            assertThat(simulation.late).isZero();
            assertThat(simulation.longServed).isGreaterThan(capacity / 2);
            assertThat(simulation.maxWaitBeforeRejection).isZero();
        }
    }

    private List<Rejection<String>> offer(ServiceName service, long deadlineMillis, String name) {
        SlotRequest<String> request =
                new SlotRequest<>(service, deadlineMillis * NANOS_PER_MILLI, name);
        return queue.offer(request, ONE_SLOT, 0);
    }

    /**
     * Simulates one slot with a service time of 10 ms and one arrival per ms; half of the requests
     * have a patience of 50 ms, the others 5 s.
     */
    private static final class OverloadSimulation {
        private final AdmissionQueue<Long> queue = AdmissionQueue.of(1_000);
        private final Deque<SlotRequest<Long>> running = new ArrayDeque<>();
        private long millis;
        private long completionMillis;
        private int onTime;
        private int late;
        private int longServed;
        private long maxWaitBeforeRejection;

        private void run(Duration duration) {
            for (millis = 0; millis < duration.toMillis(); millis++) {
                completeDue();
                offerOne();
                startNext();
            }
        }

        private void completeDue() {
            if (running.isEmpty() || completionMillis > millis) {
                return;
            }
            SlotRequest<Long> request = running.poll();
            boolean metDeadline = request.deadlineNanos() >= millis * NANOS_PER_MILLI;
            onTime += metDeadline ? 1 : 0;
            late += metDeadline ? 0 : 1;
            boolean longPatience =
                    request.deadlineNanos() - request.payload() * NANOS_PER_MILLI
                            > 1_000 * NANOS_PER_MILLI;
            longServed += longPatience ? 1 : 0;
        }

        private void offerOne() {
            long patience = millis % 2 == 0 ? 50 : 5_000;
            SlotRequest<Long> request =
                    new SlotRequest<>(FORMS, (millis + patience) * NANOS_PER_MILLI, millis);
            InstanceLoad load = new InstanceLoad(1, running.size(), remaining(), SERVICE_NANOS);
            queue.offer(request, load, millis * NANOS_PER_MILLI).stream()
                    .mapToLong(r -> millis - r.slotRequest().payload())
                    .forEach(
                            waited ->
                                    maxWaitBeforeRejection =
                                            Math.max(maxWaitBeforeRejection, waited));
        }

        private long remaining() {
            return running.isEmpty() ? 0 : (completionMillis - millis) * NANOS_PER_MILLI;
        }

        private void startNext() {
            if (running.isEmpty()) {
                queue.poll().ifPresent(running::add);
                completionMillis = millis + 10;
            }
        }
    }
}
